package buckthornbay.core.pool

import buckthornbay.protocol.Upstream

/**
 * Intervals and limits of a [PoolHolder].
 *
 * @property minReportMillis minimum interval between reports, in milliseconds.
 * @property activeReportMillis interval between reports while requests are queued or running, in milliseconds.
 * @property idleReportMillis interval between reports otherwise, in milliseconds; they renew the allocation of idle slots.
 * @property fallbackAfterMillis time without an answer from the owner after which the fallback share is used, in milliseconds.
 * @property maxQueuedPerWorkspace queue limit of a workspace for which the desired state names none.
 * @property retryAfterMillis retry delay sent to a refused caller, in milliseconds.
 * @property hedgeQuantilePercent percentile of the time to the first byte after which a request is hedged.
 * @property probeIntervalMillis interval between probes of an upstream that was ejected as slow, in milliseconds.
 * @property suspectMillis how long other upstreams are preferred to one with late requests, in milliseconds.
 */
public data class HolderSettings(
    public val minReportMillis: Long = 5,
    public val activeReportMillis: Long = 250,
    public val idleReportMillis: Long = 2_000,
    public val fallbackAfterMillis: Long = 300,
    public val maxQueuedPerWorkspace: Int = 1_000,
    public val retryAfterMillis: Long = 1_000,
    public val hedgeQuantilePercent: Double = 98.0,
    public val probeIntervalMillis: Long = 500,
    public val suspectMillis: Long = 1_000,
)

/**
 * The share of each upstream's slots that one host may use while the pool's owner does not answer.
 *
 * @property rank index of the host among the live hosts, from 0.
 * @property hosts number of live hosts.
 */
public data class FallbackShare(public val rank: Int, public val hosts: Int) {
    /** Returns this host's number of slots at [upstream]; the numbers of all hosts add up to the upstream's slots. */
    public fun slotsOf(upstream: Upstream): Int {
        val shifted = Math.floorMod(rank + upstream.id.value.hashCode(), hosts)
        val remainder = if (shifted < upstream.slots % hosts) 1 else 0
        return upstream.slots / hosts + remainder
    }
}
