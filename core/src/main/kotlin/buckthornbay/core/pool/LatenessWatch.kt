package buckthornbay.core.pool

import org.HdrHistogram.Histogram

/** Learns how long requests of each latency class take to their first byte, and names those that are late, within a budget. */
internal class LatenessWatch(private val quantilePercent: Double) {
    private val firstByteMillis = HashMap<String, Histogram>()
    private var answeredCount = 0L
    private var hedgedCount = 0L

    fun answered(nowMillis: Long, entry: RunningRequest) {
        if (entry.answering) return
        entry.answering = true
        answeredCount++
        val histogram = firstByteMillis.getOrPut(entry.request.latencyClass) { Histogram(HIGHEST_MILLIS, DIGITS) }
        if (histogram.totalCount >= WINDOW_COUNT) histogram.reset()
        histogram.recordValue((nowMillis - entry.startedAtMillis).coerceIn(0, HIGHEST_MILLIS))
    }

    fun isLate(nowMillis: Long, entry: RunningRequest, budget: Double): Boolean {
        if (!entry.request.hedgeable || entry.answering || entry.hedged) return false
        if (hedgedCount + 1 > answeredCount * budget) return false
        val histogram = firstByteMillis[entry.request.latencyClass] ?: return false
        if (histogram.totalCount < MIN_COUNT) return false
        return nowMillis - entry.startedAtMillis > histogram.getValueAtPercentile(quantilePercent)
    }

    fun hedged(entry: RunningRequest) {
        entry.hedged = true
        hedgedCount++
    }

    private companion object {
        const val HIGHEST_MILLIS = 600_000L
        const val DIGITS = 2
        const val MIN_COUNT = 50L
        const val WINDOW_COUNT = 5_000L
    }
}
