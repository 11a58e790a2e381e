package buckthornbay.core.pool

import buckthornbay.protocol.Upstream

/**
 * Times and bounds of a [PoolHolder].
 *
 * @property minReportMillis least time between two reports, in milliseconds.
 * @property activeReportMillis time between reports while requests run, in milliseconds.
 * @property idleReportMillis time between reports that keep standing slots, in milliseconds.
 * @property fallbackAfterMillis how long the owner may be silent before the fallback share is used, in milliseconds.
 * @property retryAfterMillis what a refused caller is told to wait, in milliseconds.
 * @property hedgeQuantilePercent quantile of the time to the first byte after which a request counts as late, in percent.
 * @property probeMillis time between two copies that probe an upstream which was set aside, in milliseconds.
 * @property suspectMillis how long an upstream with late requests is used last, in milliseconds.
 */
public data class HolderSettings(
    public val minReportMillis: Long = 5,
    public val activeReportMillis: Long = 250,
    public val idleReportMillis: Long = 2_000,
    public val fallbackAfterMillis: Long = 300,
    public val maxQueuedPerWorkspace: Int = 1_000,
    public val retryAfterMillis: Long = 1_000,
    public val hedgeQuantilePercent: Double = 98.0,
    public val probeMillis: Long = 500,
    public val suspectMillis: Long = 1_000,
)

/**
 * The part of each upstream's slots that one host may use while the pool has no owner that answers.
 *
 * @property rank the host's place among the live hosts, from 0.
 * @property hosts how many hosts are alive.
 */
public data class FallbackShare(public val rank: Int, public val hosts: Int) {
    /** Returns the slots of [upstream] that fall to this host; the hosts' parts add up to all its slots. */
    public fun slotsOf(upstream: Upstream): Int {
        val shifted = Math.floorMod(rank + upstream.id.value.hashCode(), hosts)
        val remainder = if (shifted < upstream.slots % hosts) 1 else 0
        return upstream.slots / hosts + remainder
    }
}
