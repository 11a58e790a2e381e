package buckthornbay.core.pool

import buckthornbay.protocol.UpstreamId
import org.HdrHistogram.Histogram

/**
 * The policy for sending a request to a second upstream.
 *
 * A second copy hedges a request that is slow for its latency class, or probes an upstream that was ejected as slow. Both count
 * against one budget, a fraction of all answered requests.
 */
internal class HedgingPolicy(private val settings: HolderSettings) {
    private val firstByteMillis = HashMap<String, Histogram>()
    private val lastProbeAtMillis = HashMap<UpstreamId, Long>()
    private val lateRequestTimes = HashMap<UpstreamId, ArrayDeque<Long>>()
    private var answeredCount = 0L
    private var hedgeCount = 0L

    /** Records the time to the first byte of [entry], once per request. */
    fun recordResponseStart(nowMillis: Long, entry: RunningRequest) {
        if (entry.responseStarted) return
        entry.responseStarted = true
        answeredCount++
        val histogram = firstByteMillis.getOrPut(entry.request.latencyClass) { Histogram(HIGHEST_MILLIS, SIGNIFICANT_DIGITS) }
        if (histogram.totalCount >= WINDOW_SAMPLES) histogram.reset()
        histogram.recordValue((nowMillis - entry.startedAtMillis).coerceIn(0, HIGHEST_MILLIS))
    }

    /** Returns whether [entry] waits for its first byte longer than the hedging percentile and the [budget] allows a hedge. */
    fun shouldHedge(nowMillis: Long, entry: RunningRequest, budget: Double): Boolean {
        val histogram = firstByteMillis[entry.request.latencyClass] ?: return false
        val hedgingAllowed = entry.request.hedgeable && !entry.responseStarted && !entry.hedged && isWithinBudget(budget)
        val hedgeAfterMillis = histogram.getValueAtPercentile(settings.hedgeQuantilePercent)
        return hedgingAllowed && histogram.totalCount >= MIN_SAMPLES && nowMillis - entry.startedAtMillis > hedgeAfterMillis
    }

    /** Returns whether a copy of [request] should probe the ejected [upstream] now. */
    fun shouldProbe(nowMillis: Long, request: PoolRequest, upstream: UpstreamId, budget: Double): Boolean {
        val sinceMillis = nowMillis - (lastProbeAtMillis[upstream] ?: -settings.probeIntervalMillis)
        return request.hedgeable && sinceMillis >= settings.probeIntervalMillis && isWithinBudget(budget)
    }

    /** Records that [entry] is late; its upstream becomes suspect after several late requests. */
    fun recordLate(nowMillis: Long, entry: RunningRequest) {
        val times = lateRequestTimes.getOrPut(entry.upstream) { ArrayDeque() }
        times.addLast(nowMillis)
        if (times.size > SUSPECT_AFTER_LATE_REQUESTS) times.removeFirst()
    }

    /** Returns whether several recent requests at [upstream] were late, so that other upstreams are preferred. */
    fun isSuspect(nowMillis: Long, upstream: UpstreamId): Boolean {
        val times = lateRequestTimes[upstream] ?: return false
        return times.size == SUSPECT_AFTER_LATE_REQUESTS && nowMillis - times.first() < settings.suspectMillis
    }

    fun recordHedge(entry: RunningRequest) {
        entry.hedged = true
        hedgeCount++
    }

    fun recordProbe(nowMillis: Long, upstream: UpstreamId) {
        lastProbeAtMillis[upstream] = nowMillis
    }

    private fun isWithinBudget(budget: Double): Boolean = hedgeCount + 1 <= answeredCount * budget

    private companion object {
        const val HIGHEST_MILLIS = 600_000L
        const val SIGNIFICANT_DIGITS = 2
        const val MIN_SAMPLES = 50L
        const val WINDOW_SAMPLES = 5_000L

        /** Number of late requests that make an upstream suspect. */
        const val SUSPECT_AFTER_LATE_REQUESTS = 2
    }
}
