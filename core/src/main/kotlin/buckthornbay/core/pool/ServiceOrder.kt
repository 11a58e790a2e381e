package buckthornbay.core.pool

import buckthornbay.protocol.WorkspaceId

/** Picks the workspace with the least normalized service among those that wait at one host. */
internal class ServiceOrder(private val accounts: HolderAccounts, private val plan: PoolPlan) {
    private val normalizedUnits = HashMap<WorkspaceId, Double>()
    private val chargedUnits = accounts.chargedUnits()

    fun next(queues: Map<WorkspaceId, RequestQueue>, longAllowed: Boolean, canRun: (PoolRequest) -> Boolean): PoolRequest? {
        var best: PoolRequest? = null
        var bestUnits = Double.POSITIVE_INFINITY
        for ((workspace, queue) in queues) {
            val head = queue.head(longAllowed, canRun) ?: continue
            val units = normalizedOf(workspace)
            if (units < bestUnits) {
                best = head
                bestUnits = units
            }
        }
        return best
    }

    fun charge(request: PoolRequest) {
        val units = accounts.estimator.estimateUnits(request) / plan.shareOf(request.workspace)
        normalizedUnits[request.workspace] = normalizedOf(request.workspace) + units
    }

    private fun normalizedOf(workspace: WorkspaceId): Double = normalizedUnits.getOrPut(workspace) {
        val account = accounts.accountOf(workspace)
        val unacknowledged = (chargedUnits[workspace] ?: 0.0) - account.acknowledgedUnits
        account.normalizedUnits + unacknowledged / plan.shareOf(workspace)
    }
}
