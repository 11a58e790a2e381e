package buckthornbay.core.pool

import buckthornbay.protocol.WorkspaceId

/** A selector of one host's next request: that of the workspace with the least normalized service. */
internal class WorkspaceSelector(private val accounts: HolderAccounts, private val plan: PoolPlan) {
    private val normalizedUnits = HashMap<WorkspaceId, Double>()
    private val chargedUnits = accounts.chargedUnits()

    /** Returns the next request from [queues] that [canRun]; long requests only if [longAllowed]. */
    fun next(queues: Map<WorkspaceId, RequestQueue>, longAllowed: Boolean, canRun: (PoolRequest) -> Boolean): PoolRequest? {
        var best: PoolRequest? = null
        var bestUnits = Double.POSITIVE_INFINITY
        for ((workspace, queue) in queues) {
            val head = queue.head(longAllowed, canRun) ?: continue
            val units = normalizedUnitsOf(workspace)
            if (units < bestUnits) {
                best = head
                bestUnits = units
            }
        }
        return best
    }

    /** Adds the estimated cost of the dispatched [request] to its workspace. */
    fun charge(request: PoolRequest) {
        val units = accounts.estimator.estimateUnits(request) / plan.shareOf(request.workspace)
        normalizedUnits[request.workspace] = normalizedUnitsOf(request.workspace) + units
    }

    private fun normalizedUnitsOf(workspace: WorkspaceId): Double = normalizedUnits.getOrPut(workspace) {
        val account = accounts.accountOf(workspace)
        val unacknowledged = (chargedUnits[workspace] ?: 0.0) - account.acknowledgedUnits
        account.normalizedUnits + unacknowledged / plan.shareOf(workspace)
    }
}
