package buckthornbay.core.load

import buckthornbay.core.LruMap
import buckthornbay.core.membership.rendezvousOrder
import buckthornbay.protocol.HostId

/**
 * The part of an upstream's request rate limit that one host may use.
 *
 * Load: overloaded engines state a few requests per second for all hosts together; the demand differs from host to host.
 *
 * The parts follow the demand at the hosts. Each host that uses an upstream may send one request at any time, and in a large
 * fleet these would add up to a multiple of the limit. There, a host uses the upstream only if its part is at least
 * [MIN_HOST_RATE], or if it is among the first hosts by rendezvous hashing. These have a larger part each, so that the hosts with
 * little demand get what they are owed together.
 *
 * @param self this host.
 * @param hosts live hosts of the fleet, with this one.
 * @param hostFraction this host's part of the demand, from 0 to 1.
 */
public class HostRateShare(
    private val self: HostId,
    private val hosts: () -> List<HostId>,
    private val hostFraction: () -> Double,
) {
    private class Selection(val users: Int, val includesSelf: Boolean)

    private val selections = LruMap<String, Selection>(MAX_SELECTIONS)
    private var liveHosts = emptyList<HostId>()
    private var liveHostsAtMillis = Long.MIN_VALUE / 2

    /** Returns the requests per second that this host may send to [upstream], which takes [limit] from all hosts together. */
    public fun of(nowMillis: Long, upstream: String, limit: Double): Double {
        refreshHosts(nowMillis)
        val total = maxOf(limit, MIN_TOTAL_RATE)
        val fraction = hostFraction()
        val ownRate = total * fraction
        if (liveHosts.size <= total * BURST_SECONDS + BURST_REQUESTS || ownRate >= MIN_HOST_RATE) return ownRate
        val users = (total / MIN_HOST_RATE).toInt().coerceAtLeast(1)
        val relativeDemand = (fraction * liveHosts.size).coerceAtMost(MAX_RELATIVE_DEMAND)
        return if (isUser(upstream, users)) total / users * relativeDemand else 0.0
    }

    private fun isUser(upstream: String, users: Int): Boolean {
        selections[upstream]?.takeIf { it.users == users }?.let { return it.includesSelf }
        val includesSelf = self in rendezvousOrder(upstream, liveHosts).take(users)
        selections[upstream] = Selection(users, includesSelf)
        return includesSelf
    }

    private fun refreshHosts(nowMillis: Long) {
        if (nowMillis - liveHostsAtMillis < HOSTS_REFRESH_MILLIS) return
        liveHostsAtMillis = nowMillis
        val live = hosts()
        if (live == liveHosts) return
        liveHosts = live
        selections.clear()
    }

    private companion object {
        /** Maximum number of upstreams whose users are remembered. */
        const val MAX_SELECTIONS = 1_024

        /** Minimum time between two readings of the live hosts, in milliseconds; a failed host is noticed in seconds. */
        const val HOSTS_REFRESH_MILLIS = 250L

        /** Requests that all hosts together may send at once: those of so many seconds of the limit, and a few more. */
        const val BURST_SECONDS = 2.0
        const val BURST_REQUESTS = 4.0

        /** Minimum rate of a host in a large fleet, in requests per second. */
        const val MIN_HOST_RATE = 1.0

        /** Maximum demand of a host that counts, relative to an even part. */
        const val MAX_RELATIVE_DEMAND = 2.0

        /** Minimum rate of all hosts, in requests per second; without a response they would not learn that a limit has ended. */
        const val MIN_TOTAL_RATE = 0.5
    }
}

/**
 * An [UpstreamLoad] that also keeps to this host's part of the request rate limit that the upstream states, by a token bucket.
 *
 * @param ownLimit requests per second that this host may send; null if the upstream states no limit.
 */
public class RateLimitedLoad(private val inner: UpstreamLoad, private val ownLimit: (nowMillis: Long) -> Double?) :
    UpstreamLoad by inner {
    private var rate: Double? = null
    private var requests = 0.0
    private var refilledAtMillis = 0L
    private var rateAtMillis = Long.MIN_VALUE / 2

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

    /** Adds what has accumulated; starts empty when the upstream begins to state a limit, as requests were sent until then. */
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
        if (previous == null) requests = 0.0
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Capacity of the bucket, in seconds of the rate. */
        const val BURST_SECONDS = 0.5

        /** Minimum time between two computations of the rate, in milliseconds; it changes with gossip messages. */
        const val RATE_REFRESH_MILLIS = 50L
    }
}
