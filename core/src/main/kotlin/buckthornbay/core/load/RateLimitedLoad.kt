package buckthornbay.core.load

/**
 * An [UpstreamLoad] that also keeps to this host's part of the request rate limit that the upstream states, by a token bucket.
 *
 * @param firstCredit returns the part of a request, from 0 to 1, that a host has in its bucket when it gets a part of a limit of
 * which it had none. Parts that pass from host to host while the limit changes are of use only if some of these hosts may send at
 * once.
 * @param ownLimit requests per second that this host may send; null if the upstream states no limit.
 */
public class RateLimitedLoad(
    private val inner: UpstreamLoad,
    private val firstCredit: () -> Double = { 0.0 },
    private val ownLimit: (nowMillis: Long) -> Double?,
) : UpstreamLoad by inner {
    private var rate: Double? = null
    private var requests = 0.0
    private var refilledAtMillis = 0L
    private var rateAtMillis = Long.MIN_VALUE / 2
    private var hasSent = false

    override fun hasRoom(nowMillis: Long, cost: Double): Boolean {
        refill(nowMillis)
        return (rate == null || requests >= 1.0) && inner.hasRoom(nowMillis, cost)
    }

    override fun expectedWaitMillis(nowMillis: Long): Double {
        refill(nowMillis)
        return inner.expectedWaitMillis(nowMillis) + untilNextRequestMillis()
    }

    override fun sent(nowMillis: Long, id: String, cost: Double) {
        refill(nowMillis)
        requests -= 1.0
        hasSent = true
        inner.sent(nowMillis, id, cost)
    }

    override fun view(nowMillis: Long): LoadView {
        refill(nowMillis)
        return inner.view(nowMillis).copy(requestsPerSecond = rate)
    }

    private fun untilNextRequestMillis(): Double {
        val rate = rate
        return when {
            rate == null || requests >= 1.0 -> 0.0
            rate == 0.0 -> Double.POSITIVE_INFINITY
            else -> (1.0 - requests) * MILLIS_PER_SECOND / rate
        }
    }

    /** Adds what has accumulated; starts empty when the upstream begins to state a limit, if requests were sent until then. */
    private fun refill(nowMillis: Long) {
        val previous = rate
        if (previous != null) {
            val capacity = maxOf(1.0, previous * BURST_SECONDS)
            requests = minOf(requests + previous * (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND, capacity)
        }
        refilledAtMillis = nowMillis
        if (nowMillis - rateAtMillis < RATE_REFRESH_MILLIS) return
        rateAtMillis = nowMillis
        rate = ownLimit(nowMillis)
        if (previous == null) requests = if (hasSent) 0.0 else firstCredit()
        if (previous == 0.0 && rate != 0.0) requests = maxOf(requests, firstCredit())
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Capacity of the bucket, in seconds of the rate. */
        const val BURST_SECONDS = 0.5

        /** Minimum time between two computations of the rate, in milliseconds; it changes with gossip messages. */
        const val RATE_REFRESH_MILLIS = 50L
    }
}
