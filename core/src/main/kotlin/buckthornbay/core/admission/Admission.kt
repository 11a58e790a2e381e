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
     * Only a request that is due takes from the share of the workspace: a late one is served behind others, whatever is left.
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
        if (waitedMillis >= (route.objectiveMillis ?: Long.MAX_VALUE)) {
            shares.recordDemand(nowMillis, workspace, demand.workTokens)
            return WaitingRank.LATE
        }
        val isWithinShare = shares.tryAcquire(nowMillis, workspace, demand.workTokens)
        return if (isWithinShare) WaitingRank.DUE else WaitingRank.BEYOND_SHARE
    }

    /** Gives back what a request of [rank] took from the share of its [workspace], because it is refused. */
    public fun refused(nowMillis: Long, workspace: WorkspaceId?, demand: TokenDemand?, rank: WaitingRank) {
        if (workspace != null && demand != null && rank == WaitingRank.DUE) {
            shares.release(nowMillis, workspace, demand.workTokens)
        }
    }
}
