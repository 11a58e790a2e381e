package buckthornbay.core.admission

import buckthornbay.core.load.TokenDemand
import buckthornbay.core.routing.Route
import buckthornbay.protocol.WorkspaceId

/**
 * The components that decide whether and how long a request may wait.
 *
 * @property priorWaits how long callers of repeated requests have waited before.
 */
public class Admission(
    public val policy: AdmissionPolicy,
    public val shares: FairShares,
    public val priorWaits: CallerRetryTracker,
) {
    /**
     * Records the [demand] of a request for its [workspace] and returns the priority class of the request.
     *
     * A late request is due if requests that can be in time leave some of the share of the workspace.
     *
     * @param waitedMillis time since the caller's first attempt, in milliseconds.
     */
    public fun rankOf(
        nowMillis: Long,
        route: Route,
        workspace: WorkspaceId?,
        demand: TokenDemand?,
        waitedMillis: Long,
    ): WaitingRank {
        if (workspace == null || demand == null) return WaitingRank.DUE
        val isLate = waitedMillis >= (route.objectiveMillis ?: Long.MAX_VALUE)
        return when {
            shares.tryAcquire(nowMillis, workspace, demand.workTokens, isLate) -> WaitingRank.DUE
            isLate -> WaitingRank.LATE
            else -> WaitingRank.BEYOND_SHARE
        }
    }
}
