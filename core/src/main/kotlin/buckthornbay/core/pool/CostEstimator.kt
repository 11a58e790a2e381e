package buckthornbay.core.pool

import buckthornbay.protocol.WorkspaceId

/** An estimator of request costs: exponential moving averages over completed requests, per workspace and latency class. */
internal class CostEstimator {
    private val averageUnits = HashMap<Key, Double>()

    private data class Key(val workspace: WorkspaceId, val latencyClass: String)

    /** Returns the estimated cost of [request] in cost units: its hint until a request of its kind has completed. */
    fun estimateUnits(request: PoolRequest): Double = averageUnits[keyOf(request)] ?: request.hintUnits

    fun observe(request: PoolRequest, units: Double) {
        averageUnits[keyOf(request)] = estimateUnits(request) * (1 - SMOOTHING_FACTOR) + units * SMOOTHING_FACTOR
    }

    private fun keyOf(request: PoolRequest) = Key(request.workspace, request.latencyClass)

    private companion object {
        const val SMOOTHING_FACTOR = 0.2
    }
}
