package buckthornbay.core.load

/**
 * The load of one model engine, in prompt tokens that were sent and whose prefill is pending.
 *
 * The time to the first token is the wait for a slot, and then the number of pending tokens ahead divided by the engine's prefill
 * rate. This host knows its own pending tokens. What other hosts cause is the larger of two estimates: the wait for a slot, and
 * the part of the measured wait that this host's own tokens don't account for. The latter is already old when it is made, so its
 * weight decays linearly to zero.
 *
 * Prefill also delays the output tokens of all running requests. The sending rate is therefore limited by a token bucket with
 * additive increase and multiplicative decrease: it rises while requests start in time and streams keep their pace, and
 * falls when they don't. The learned rate is that of all hosts together, of which this host may use its part.
 *
 * @param slotWaitMillis returns the expected time until a request that is sent now gets a slot, in milliseconds.
 * @param hostFraction part of the rate that this host may use, from 0 to 1; it follows the demand at this host.
 */
public class EngineLoad(
    private val settings: EngineLoadSettings = EngineLoadSettings(),
    private val slotWaitMillis: (nowMillis: Long) -> Double = { 0.0 },
    private val hostFraction: () -> Double,
) : UpstreamLoad {
    private class PendingPrefill(val cost: Double, val sentAtMillis: Long, val tokensAhead: Double)

    private val pending = LinkedHashMap<String, PendingPrefill>()
    private val running = HashSet<String>()
    private var pendingTokens = 0.0
    private var otherHostsWaitMillis = 0.0
    private var otherHostsSeenAtMillis = 0L
    private var millisPerToken = settings.initialMillisPerToken
    private var tokensPerMilli = settings.initialTokensPerMilli
    private var availableTokens = 0.0
    private var refilledAtMillis = 0L
    private var decreasedAtMillis = Long.MIN_VALUE / 2
    private var increasedAtMillis = 0L
    private var slowdown = 1.0
    private var slowdownSeenAtMillis = 0L
    private var lastReport: LoadReport? = null

    private val ownTokensPerMilli: Double get() = tokensPerMilli * hostFraction()

    override val inFlight: Int get() = pending.size + running.size

    override fun hasRoom(nowMillis: Long, cost: Double): Boolean =
        tokensAt(nowMillis) >= 0 && (pending.isEmpty() || pendingTokens + cost <= settings.maxPendingTokens)

    override fun expectedWaitMillis(nowMillis: Long): Double {
        val weight = 1.0 - (nowMillis - otherHostsSeenAtMillis).toDouble() / settings.otherHostsDecayMillis
        val decayedWaitMillis = otherHostsWaitMillis * weight.coerceIn(0.0, 1.0)
        val othersMillis = maxOf(decayedWaitMillis, slotWaitMillis(nowMillis))
        return othersMillis + pendingTokens * millisPerToken * currentSlowdown(nowMillis)
    }

    override fun serviceMillis(cost: Double): Double = cost * millisPerToken

    override fun view(nowMillis: Long): LoadView {
        val report = lastReport?.takeIf { nowMillis - slowdownSeenAtMillis <= settings.reportTtlMillis }
        val freeSlots = report?.let { (it.slots - it.running - it.waiting).coerceAtLeast(0) }
        return LoadView(ownTokensPerMilli * MILLIS_PER_SECOND, freeSlots, slotWaitMillis = slotWaitMillis(nowMillis))
    }

    override fun sent(nowMillis: Long, id: String, cost: Double) {
        availableTokens = tokensAt(nowMillis) - cost
        refilledAtMillis = nowMillis
        pending[id] = PendingPrefill(cost, nowMillis, pendingTokens)
        pendingTokens += cost
    }

    override fun responseStarted(nowMillis: Long, id: String, report: LoadReport?) {
        lastReport = report
        report?.let {
            slowdown = it.slowdown
            slowdownSeenAtMillis = nowMillis
        }
        val entry = remove(id) ?: return
        running += id
        val elapsedMillis = (nowMillis - entry.sentAtMillis).toDouble()
        updateMillisPerToken(entry.cost, elapsedMillis)
        val ownMillis = (entry.cost + entry.tokensAhead) * millisPerToken
        val otherHostsMillis = (elapsedMillis - ownMillis - settings.firstTokenOverheadMillis).coerceAtLeast(0.0)
        otherHostsWaitMillis += settings.smoothing * (otherHostsMillis - otherHostsWaitMillis)
        otherHostsSeenAtMillis = nowMillis
        val waitedMillis = elapsedMillis - entry.cost * millisPerToken
        val requestsQueued = report != null && report.waiting > 0
        if (requestsQueued || waitedMillis > settings.targetWaitMillis) decreaseRate(nowMillis) else increaseRate(nowMillis)
    }

    override fun gapObserved(nowMillis: Long, gapMillis: Long, allowedMillis: Long) {
        if (gapMillis > allowedMillis * settings.targetGapFraction) decreaseRate(nowMillis) else increaseRate(nowMillis)
    }

    override fun ended(nowMillis: Long, id: String, outcome: SendOutcome) {
        val unstarted = remove(id)
        running -= id
        if (outcome == SendOutcome.REFUSED) decreaseRate(nowMillis)
        if (outcome == SendOutcome.FAILED && unstarted != null) decreaseRate(nowMillis)
    }

    private fun remove(id: String): PendingPrefill? {
        val entry = pending.remove(id) ?: return null
        pendingTokens = if (pending.isEmpty()) 0.0 else pendingTokens - entry.cost
        return entry
    }

    /** Tracks a low quantile of the prefill time per token, because most samples include queueing time as well. */
    private fun updateMillisPerToken(cost: Double, elapsedMillis: Double) {
        if (cost < settings.minSampleTokens) return
        val sample = (elapsedMillis - settings.firstTokenOverheadMillis).coerceAtLeast(0.0) / cost
        val step = if (sample < millisPerToken) settings.downwardSmoothing else settings.upwardSmoothing
        millisPerToken =
            (millisPerToken + step * (sample - millisPerToken)).coerceIn(
                settings.minMillisPerToken,
                settings.maxMillisPerToken,
            )
    }

    private fun tokensAt(nowMillis: Long): Double =
        (availableTokens + (nowMillis - refilledAtMillis) * ownTokensPerMilli).coerceAtMost(settings.burstTokens)

    private fun decreaseRate(nowMillis: Long) {
        if (nowMillis - decreasedAtMillis < settings.decreaseIntervalMillis) return
        decreasedAtMillis = nowMillis
        setRate(nowMillis, tokensPerMilli * settings.decreaseFactor)
    }

    /** Raises the rate unless the bucket is full: fast responses below the current rate don't justify a higher one. */
    private fun increaseRate(nowMillis: Long) {
        if (nowMillis - increasedAtMillis < settings.increaseIntervalMillis || tokensAt(nowMillis) >= settings.burstTokens) return
        increasedAtMillis = nowMillis
        setRate(nowMillis, tokensPerMilli + settings.increaseTokensPerMilli)
    }

    private fun setRate(nowMillis: Long, rate: Double) {
        availableTokens = tokensAt(nowMillis)
        refilledAtMillis = nowMillis
        tokensPerMilli = rate.coerceIn(settings.minTokensPerMilli, settings.maxTokensPerMilli)
    }

    private fun currentSlowdown(nowMillis: Long): Double =
        if (nowMillis - slowdownSeenAtMillis < settings.slowdownTtlMillis) slowdown else 1.0

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * Constants of [EngineLoad].
 *
 * @property initialMillisPerToken prefill time per prompt token before the first sample, in milliseconds; a large model on
 * several accelerators prefills about 80 tokens per millisecond.
 * @property minMillisPerToken lower bound of the estimated prefill time per token, in milliseconds.
 * @property maxMillisPerToken upper bound of the estimated prefill time per token, in milliseconds.
 * @property minSampleTokens minimum cost of a request that is used as a sample; the time of shorter ones is mostly overhead.
 * @property downwardSmoothing smoothing factor for samples below the estimate; together with [upwardSmoothing] it makes the
 * estimate converge near the 20th percentile.
 * @property upwardSmoothing smoothing factor for samples above the estimate.
 * @property firstTokenOverheadMillis time from the end of prefill until the first token reaches this host, in milliseconds.
 * @property smoothing smoothing factor of the estimated wait caused by other hosts.
 * @property otherHostsDecayMillis time after which the estimated wait caused by other hosts has decayed to zero, in
 * milliseconds; engine queues turn over faster.
 * @property targetWaitMillis longest wait in the engine that does not count as overload, in milliseconds; a quarter of the
 * usual latency objective of 800 ms, which leaves the rest for this host's fair queue.
 * @property targetGapFraction fraction of the allowed pause between stream events that does not count as overload; a value
 * below 1 leaves headroom for slowdowns by other workloads on the engine's machine, which come without notice.
 * @property initialTokensPerMilli rate of all hosts before the first sample, in tokens per millisecond; the throughput of an
 * engine.
 * @property minTokensPerMilli lower bound of the rate; above zero, so that every engine is probed again.
 * @property maxTokensPerMilli upper bound of the rate: several times the throughput of an engine, because hosts that could use
 * it may send elsewhere.
 * @property increaseTokensPerMilli additive increase of the rate.
 * @property increaseIntervalMillis minimum time between two increases, in milliseconds.
 * @property decreaseFactor factor applied to the rate on a sign of overload.
 * @property decreaseIntervalMillis minimum time between two decreases, in milliseconds: one turnover of the engine's queue.
 * @property burstTokens capacity of the token bucket.
 * @property maxPendingTokens maximum number of this host's pending tokens at one engine; they are lost if the engine fails.
 * @property slowdownTtlMillis how long a reported slowdown stays valid, in milliseconds; it changes several times a second
 * with the other workloads on the engine's machine.
 * @property reportTtlMillis how long a reported number of free slots is shown in logs, in milliseconds.
 */
public data class EngineLoadSettings(
    public val initialMillisPerToken: Double = 0.0125,
    public val minMillisPerToken: Double = 0.002,
    public val maxMillisPerToken: Double = 0.2,
    public val minSampleTokens: Double = 2_000.0,
    public val downwardSmoothing: Double = 0.1,
    public val upwardSmoothing: Double = 0.025,
    public val firstTokenOverheadMillis: Double = 25.0,
    public val smoothing: Double = 0.4,
    public val otherHostsDecayMillis: Double = 1_500.0,
    public val targetWaitMillis: Double = 200.0,
    public val targetGapFraction: Double = 1.0,
    public val initialTokensPerMilli: Double = 90.0,
    public val minTokensPerMilli: Double = 9.0,
    public val maxTokensPerMilli: Double = 900.0,
    public val increaseTokensPerMilli: Double = 3.6,
    public val increaseIntervalMillis: Long = 100,
    public val decreaseFactor: Double = 0.85,
    public val decreaseIntervalMillis: Long = 200,
    public val burstTokens: Double = 6_000.0,
    public val maxPendingTokens: Double = 30_000.0,
    public val slowdownTtlMillis: Long = 300,
    public val reportTtlMillis: Long = 1_000,
)
