package buckthornbay.core.registry

import buckthornbay.core.LruMap

/**
 * What upstreams have stated about themselves in responses to this host.
 *
 * A statement holds for one incarnation, whatever its registration says: that may be older than the statement, or may expire and
 * return while the store is unavailable. It binds only the host that received it.
 */
public class UpstreamNotices {
    private data class Incarnation(val id: String, val address: String)

    private val leaving = LruMap<Incarnation, Unit>(MAX_INCARNATIONS)
    private val pausedUntilMillis = LruMap<Incarnation, Long>(MAX_INCARNATIONS)

    /** Returns whether [upstream] has stated that it is shutting down. */
    public fun isLeaving(upstream: UpstreamEntry): Boolean = incarnationOf(upstream) in leaving

    /** Records that [upstream] is shutting down; returns false if that was known. */
    public fun recordLeaving(upstream: UpstreamEntry): Boolean = leaving.put(incarnationOf(upstream), Unit) == null

    /** Returns the time until which [upstream] wants no requests from this host, in milliseconds. */
    public fun pausedUntilMillis(upstream: UpstreamEntry): Long = pausedUntilMillis[incarnationOf(upstream)] ?: NOT_PAUSED_MILLIS

    /** Records that [upstream] wants no requests for [pauseMillis]; a shorter pause does not end a longer one. */
    public fun recordPause(nowMillis: Long, upstream: UpstreamEntry, pauseMillis: Long) {
        pausedUntilMillis.merge(incarnationOf(upstream), nowMillis + pauseMillis, ::maxOf)
    }

    private fun incarnationOf(upstream: UpstreamEntry) = Incarnation(upstream.incarnation, upstream.address)

    private companion object {
        const val NOT_PAUSED_MILLIS = Long.MIN_VALUE / 2

        /** Maximum number of incarnations that are remembered: a large fleet of upstreams that was replaced as a whole. */
        const val MAX_INCARNATIONS = 1_024
    }
}
