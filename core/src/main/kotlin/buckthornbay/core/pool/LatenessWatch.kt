package buckthornbay.core.pool

import buckthornbay.protocol.UpstreamId
import org.HdrHistogram.Histogram

/**
 * Says which requests get a second copy: those that are later than usual for their latency class, and a few that probe an
 * upstream
 * which was set aside. Both keep within one budget, a part of all answered requests.
 */
internal class LatenessWatch(private val settings: HolderSettings) {
    private val firstByteMillis = HashMap<String, Histogram>()
    private val probedAtMillis = HashMap<UpstreamId, Long>()
    private val lateAtMillis = HashMap<UpstreamId, ArrayDeque<Long>>()
    private var answeredCount = 0L
    private var copyCount = 0L

    fun answered(nowMillis: Long, entry: RunningRequest) {
        if (entry.answering) return
        entry.answering = true
        answeredCount++
        val histogram = firstByteMillis.getOrPut(entry.request.latencyClass) { Histogram(HIGHEST_MILLIS, DIGITS) }
        if (histogram.totalCount >= WINDOW_COUNT) histogram.reset()
        histogram.recordValue((nowMillis - entry.startedAtMillis).coerceIn(0, HIGHEST_MILLIS))
    }

    fun isLate(nowMillis: Long, entry: RunningRequest, budget: Double): Boolean {
        val histogram = firstByteMillis[entry.request.latencyClass] ?: return false
        val mayCopy = entry.request.hedgeable && !entry.answering && !entry.hedged && isWithin(budget)
        val lateAfterMillis = histogram.getValueAtPercentile(settings.hedgeQuantilePercent)
        return mayCopy && histogram.totalCount >= MIN_COUNT && nowMillis - entry.startedAtMillis > lateAfterMillis
    }

    /** Whether a copy of [request] should probe [upstream] now. */
    fun shouldProbe(nowMillis: Long, request: PoolRequest, upstream: UpstreamId, budget: Double): Boolean {
        val sinceMillis = nowMillis - (probedAtMillis[upstream] ?: -settings.probeMillis)
        return request.hedgeable && sinceMillis >= settings.probeMillis && isWithin(budget)
    }

    /** Notes that [entry] is late, which makes its upstream suspect where it is not the only one. */
    fun late(nowMillis: Long, entry: RunningRequest) {
        val times = lateAtMillis.getOrPut(entry.upstream) { ArrayDeque() }
        times.addLast(nowMillis)
        if (times.size > SUSPECT_COUNT) times.removeFirst()
    }

    /** Whether several requests at [upstream] were late a moment ago, so that others are to be preferred. */
    fun isSuspect(nowMillis: Long, upstream: UpstreamId): Boolean {
        val times = lateAtMillis[upstream] ?: return false
        return times.size == SUSPECT_COUNT && nowMillis - times.first() < settings.suspectMillis
    }

    fun copied(entry: RunningRequest) {
        entry.hedged = true
        copyCount++
    }

    fun probed(nowMillis: Long, upstream: UpstreamId) {
        probedAtMillis[upstream] = nowMillis
    }

    private fun isWithin(budget: Double): Boolean = copyCount + 1 <= answeredCount * budget

    private companion object {
        const val HIGHEST_MILLIS = 600_000L
        const val DIGITS = 2
        const val MIN_COUNT = 50L
        const val WINDOW_COUNT = 5_000L

        /** Late requests that make an upstream suspect. */
        const val SUSPECT_COUNT = 2
    }
}
