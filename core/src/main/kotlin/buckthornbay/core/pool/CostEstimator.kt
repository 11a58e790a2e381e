package buckthornbay.core.pool

import buckthornbay.protocol.WorkspaceId

/** Learns what a request of a workspace and latency class costs from those that ended. */
internal class CostEstimator {
    private val learned = HashMap<Key, Double>()

    private data class Key(val workspace: WorkspaceId, val latencyClass: String)

    fun estimateUnits(request: PoolRequest): Double = learned[keyOf(request)] ?: request.hintUnits

    fun observe(request: PoolRequest, units: Double) {
        learned[keyOf(request)] = estimateUnits(request) * (1 - GAIN) + units * GAIN
    }

    private fun keyOf(request: PoolRequest) = Key(request.workspace, request.latencyClass)

    private companion object {
        const val GAIN = 0.2
    }
}
