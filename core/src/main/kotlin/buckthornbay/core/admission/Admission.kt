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
     * Charges the [demand] of a request to its [workspace] and returns the priority class of the request.
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
        val withinShare = shares.tryAcquire(nowMillis, workspace, demand.workTokens)
        return when {
            waitedMillis >= (route.objectiveMillis ?: Long.MAX_VALUE) -> WaitingRank.LATE
            withinShare -> WaitingRank.DUE
            else -> WaitingRank.BEYOND_SHARE
        }
    }
}
