package buckthornbay.core.load

/**
 * The limit on the work that this host sends to all engines of a service together, by a token bucket.
 *
 * Load: fleets of many hosts and engines whose requests are larger than what a host may send to one engine within a second. Each
 * [EngineLoad] lets a request through that its own bucket does not cover yet, so that over all engines a host with few callers
 * could send for seconds as much as it likes. A host with many callers then finds the engines full and gets less than its part.
 *
 * @param burstMillis capacity of the bucket, in milliseconds of the host's rate.
 */
public class HostPace(private val burstMillis: Double = DEFAULT_BURST_MILLIS) {
    private var rate: Rate? = null
    private var availableTokens = 0.0
    private var refilledAtMillis = 0L

    /** The work that this host may send to all engines together, in tokens per millisecond. */
    private class Rate(val tokensPerMilli: Double, val asOfMillis: Long)

    /** Returns whether a request may be sent to one of [engines], which returns those that may be used now. */
    public fun hasRoom(nowMillis: Long, engines: () -> List<UpstreamLoad>): Boolean {
        refill(nowMillis, engines)
        return availableTokens >= 0
    }

    /** Records that a request of [cost] was sent. */
    public fun sent(cost: Double) {
        availableTokens -= cost
    }

    private fun refill(nowMillis: Long, engines: () -> List<UpstreamLoad>) {
        val known = rate
        if (known == null || nowMillis - known.asOfMillis >= REFRESH_MILLIS) rate = rateOf(nowMillis, engines())
        val tokensPerMilli = rate?.tokensPerMilli ?: 0.0
        val capacity = tokensPerMilli * burstMillis
        val refilled = if (known == null) capacity else availableTokens + tokensPerMilli * (nowMillis - refilledAtMillis)
        availableTokens = minOf(refilled, capacity)
        refilledAtMillis = nowMillis
    }

    private fun rateOf(nowMillis: Long, engines: List<UpstreamLoad>) =
        Rate(engines.sumOf { it.view(nowMillis).allowedPerSecond } / MILLIS_PER_SECOND, nowMillis)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /**
         * Default capacity, in milliseconds of the rate: what the limits to single engines let a host of a fleet of nine send at
         * once, 6,000 tokens and a large request to each, so that this limit binds only in larger fleets.
         */
        const val DEFAULT_BURST_MILLIS = 1_800.0

        /** Minimum time between two computations of the rate, in milliseconds; messages of peers come less often. */
        const val REFRESH_MILLIS = 50L
    }
}
