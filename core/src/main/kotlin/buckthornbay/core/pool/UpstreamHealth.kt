package buckthornbay.core.pool

import buckthornbay.protocol.UpstreamId
import kotlin.math.exp

/**
 * A detector of upstreams that are slower than the others of their pool; assigns each a weight from the hosts' reports.
 *
 * It compares the busy time per unit of progress. A slow upstream is ejected immediately, except for at least one slot for
 * probes, and regains its weight gradually. At most half of a pool is ejected.
 */
internal class UpstreamHealth(private val sensitivity: HealthSensitivity) {
    private val windows = HashMap<UpstreamId, Window>()

    private class Window {
        var busyMillis = 0.0
        var progressUnits = 0.0
        var decayedAtMillis = 0L
        var weight = 1.0
        var slow = false
        var ratedAtMillis = 0L
    }

    /** Adds the busy time and progress of [upstream] since the last report. */
    fun observe(nowMillis: Long, upstream: UpstreamId, busyMillis: Long, progressUnits: Double) {
        val window = windows.getOrPut(upstream) { Window().apply { decayedAtMillis = nowMillis } }
        decay(nowMillis, window)
        window.busyMillis += maxOf(0, busyMillis)
        window.progressUnits += maxOf(0.0, progressUnits)
    }

    /** Returns the fraction of [upstream]'s slots that may be used, above 0 and at most 1. */
    fun weightOf(upstream: UpstreamId): Double = windows[upstream]?.weight ?: 1.0

    /** Returns whether [upstream] is ejected as slow. */
    fun isSlow(upstream: UpstreamId): Boolean = windows[upstream]?.slow ?: false

    /** Compares the pool's [upstreams] with their median at [nowMillis] and updates their weights. */
    fun evaluate(nowMillis: Long, upstreams: List<UpstreamId>) {
        val known = upstreams.mapNotNull { id -> windows[id]?.let { id to it } }
        known.forEach { (_, window) -> decay(nowMillis, window) }
        val rated = known.filter { (_, window) ->
            window.busyMillis >= if (window.slow) MIN_EJECTED_BUSY_MILLIS else MIN_BUSY_MILLIS
        }
        val median = rated.map { (_, window) -> window.unitMillis() }.sorted().let { it.getOrNull((it.size - 1) / 2) } ?: return
        val slowest = rated.sortedByDescending { (_, window) -> window.unitMillis() }
        val maxEjected = upstreams.size / 2
        slowest.forEachIndexed { index, (_, window) ->
            window.ratedAtMillis = nowMillis
            updateWeight(window, window.unitMillis() / median, index < maxEjected)
        }
        val unrated = known.filter { (_, window) -> nowMillis - window.ratedAtMillis > RATING_EXPIRY_MILLIS }
        unrated.forEach { (_, window) -> recover(window) }
    }

    private fun updateWeight(window: Window, ratio: Double, mayEject: Boolean) {
        val threshold = if (window.slow) RECOVERY_RATIO else sensitivity.slowRatio
        if (ratio > threshold && mayEject) {
            window.slow = true
            window.weight = EJECTED_WEIGHT
        } else {
            recover(window)
        }
    }

    private fun recover(window: Window) {
        window.slow = false
        window.weight = minOf(1.0, window.weight * RECOVERY_FACTOR)
    }

    private fun decay(nowMillis: Long, window: Window) {
        val factor = exp(-(nowMillis - window.decayedAtMillis) / sensitivity.windowMillis)
        window.busyMillis *= factor
        window.progressUnits *= factor
        window.decayedAtMillis = nowMillis
    }

    private fun Window.unitMillis(): Double = busyMillis / maxOf(progressUnits, MIN_PROGRESS_UNITS)

    private companion object {
        const val MIN_BUSY_MILLIS = 200.0
        const val MIN_EJECTED_BUSY_MILLIS = 50.0
        const val MIN_PROGRESS_UNITS = 0.01
        const val RECOVERY_RATIO = 1.3
        const val RECOVERY_FACTOR = 1.1
        const val EJECTED_WEIGHT = 0.1

        /** Time after which an upstream without sufficient busy time starts to recover, in milliseconds. */
        const val RATING_EXPIRY_MILLIS = 5_000L
    }
}

/**
 * The sensitivity of the detection of slow upstreams.
 *
 * @property windowMillis time constant of the exponential decay of observations, in milliseconds.
 * @property slowRatio ratio to the median time per unit of progress above which an upstream is slow.
 */
internal enum class HealthSensitivity(val windowMillis: Double, val slowRatio: Double) {
    /** Progress is reported per token, so that a short window contains many observations. */
    STREAMED(windowMillis = 250.0, slowRatio = 1.6),

    /** Progress is reported only when requests end, so that a longer window is needed to average them. */
    ENDS_ONLY(windowMillis = 1_000.0, slowRatio = 2.0),
}
