package buckthornbay.core.pool

import buckthornbay.protocol.UpstreamId
import kotlin.math.exp

/**
 * Finds upstreams that are slower than the others of their pool, from what the hosts see, and gives each a weight.
 *
 * The figure compared is busy time for each unit of progress. A slowed upstream is set aside at once, but for a slot to probe it,
 * and gains its weight back gradually; never more than half of a pool is set aside.
 */
internal class UpstreamHealth(private val sensitivity: HealthSensitivity) {
    private val windows = HashMap<UpstreamId, Window>()

    private class Window {
        var busyMillis = 0.0
        var progressUnits = 0.0
        var decayedAtMillis = 0L
        var weight = 1.0
        var slow = false
        var judgedAtMillis = 0L
    }

    /** Adds what was seen of [upstream] since the last call. */
    fun observe(nowMillis: Long, upstream: UpstreamId, busyMillis: Long, progressUnits: Double) {
        val window = windows.getOrPut(upstream) { Window().apply { decayedAtMillis = nowMillis } }
        decay(nowMillis, window)
        window.busyMillis += maxOf(0, busyMillis)
        window.progressUnits += maxOf(0.0, progressUnits)
    }

    /** Returns the part of [upstream]'s slots that may be used, above 0 and at most 1. */
    fun weightOf(upstream: UpstreamId): Double = windows[upstream]?.weight ?: 1.0

    /** Whether [upstream] is set aside as slow. */
    fun isSlow(upstream: UpstreamId): Boolean = windows[upstream]?.slow ?: false

    /** Compares the pool's [upstreams] at [nowMillis] and sets their weights. */
    fun evaluate(nowMillis: Long, upstreams: List<UpstreamId>) {
        val known = upstreams.mapNotNull { id -> windows[id]?.let { id to it } }
        known.forEach { (_, window) -> decay(nowMillis, window) }
        val judged = known.filter { (_, window) ->
            window.busyMillis >= if (window.slow) MIN_PROBE_MILLIS else MIN_EVIDENCE_MILLIS
        }
        val median = judged.map { (_, window) -> window.slowness() }.sorted().let { it.getOrNull((it.size - 1) / 2) } ?: return
        val slowest = judged.sortedByDescending { (_, window) -> window.slowness() }
        val allowed = upstreams.size / 2
        slowest.forEachIndexed { index, (_, window) ->
            window.judgedAtMillis = nowMillis
            judge(window, window.slowness() / median, index < allowed)
        }
        val unseen = known.filter { (_, window) -> nowMillis - window.judgedAtMillis > FORGET_MILLIS }
        unseen.forEach { (_, window) -> recover(window) }
    }

    private fun judge(window: Window, ratio: Double, maySetAside: Boolean) {
        val threshold = if (window.slow) RECOVERED_RATIO else sensitivity.slowRatio
        if (ratio > threshold && maySetAside) {
            window.slow = true
            window.weight = SET_ASIDE_WEIGHT
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

    private fun Window.slowness(): Double = busyMillis / maxOf(progressUnits, MIN_PROGRESS_UNITS)

    private companion object {
        const val MIN_EVIDENCE_MILLIS = 200.0
        const val MIN_PROBE_MILLIS = 50.0
        const val MIN_PROGRESS_UNITS = 0.01
        const val RECOVERED_RATIO = 1.3
        const val RECOVERY_FACTOR = 1.1
        const val SET_ASIDE_WEIGHT = 0.1

        /** How long an upstream that nobody uses stays judged as it was, in milliseconds. */
        const val FORGET_MILLIS = 5_000L
    }
}

/**
 * How soon an upstream counts as slow.
 *
 * @property windowMillis how long what was seen counts, in milliseconds.
 * @property slowRatio how many times slower than the others' median an upstream must be.
 */
internal enum class HealthSensitivity(val windowMillis: Double, val slowRatio: Double) {
    /** Progress is seen token by token, so a short window holds many observations. */
    STREAMED(windowMillis = 250.0, slowRatio = 1.6),

    /** Progress is seen only when requests end, so a window must be long enough to even them out. */
    ENDS_ONLY(windowMillis = 1_000.0, slowRatio = 2.0),
}
