package buckthornbay.core.pool

import buckthornbay.protocol.RequestId

/**
 * The queue of one workspace's requests at one host for one pool.
 *
 * Short and long requests are kept apart, each in order of arrival.
 */
internal class RequestQueue {
    private val short = ArrayDeque<PoolRequest>()
    private val long = ArrayDeque<PoolRequest>()

    val size: Int get() = short.size + long.size
    val shortSize: Int get() = short.size
    val longSize: Int get() = long.size

    fun add(request: PoolRequest) {
        val queue = queueOf(request)
        val index = queue.indexOfFirst { it.arrivedAtMillis > request.arrivedAtMillis }
        if (index < 0) queue.addLast(request) else queue.add(index, request)
    }

    /** Returns the first request that [canRun], short ones first; long ones only if [longAllowed]. */
    fun head(longAllowed: Boolean, canRun: (PoolRequest) -> Boolean): PoolRequest? =
        short.firstOrNull(canRun) ?: if (longAllowed) long.firstOrNull(canRun) else null

    fun remove(request: PoolRequest) {
        val queue = queueOf(request)
        if (queue.firstOrNull()?.id == request.id) queue.removeFirst() else queue.removeAll { it.id == request.id }
    }

    fun removeById(id: RequestId): PoolRequest? {
        val found = short.firstOrNull { it.id == id } ?: long.firstOrNull { it.id == id }
        found?.let(::remove)
        return found
    }

    /** Removes and returns the requests whose deadline has passed. */
    fun removeExpired(nowMillis: Long): List<PoolRequest> {
        val expired = (short + long).filter { it.deadlineAtMillis <= nowMillis }
        expired.forEach(::remove)
        return expired
    }

    fun oldestArrivalMillis(): Long? = listOfNotNull(short.firstOrNull(), long.firstOrNull()).minOfOrNull { it.arrivedAtMillis }

    private fun queueOf(request: PoolRequest) = if (request.long) long else short
}
