package buckthornbay.core.load

/**
 * The load of one model engine, in prompt tokens that were sent and not yet read.
 *
 * It answers load in which reading prompts is the scarce resource: the wait before a first token is the unread tokens ahead
 * over the engine's rate. The host knows its own unread tokens; those of other hosts show in how much longer its requests
 * waited than its own tokens explain. That estimate is stale when it is made, so it fades.
 *
 * Reading prompts also holds up the tokens of every request that runs, so the host sends at a rate that rises step by step
 * while its requests begin in time and its streams flow, and falls by a part when they don't.
 */
public class EngineLoad(private val settings: EngineLoadSettings = EngineLoadSettings()) : UpstreamLoad {
    private class Unread(val cost: Double, val sentAtMillis: Long, val aheadTokens: Double)

    private val unread = LinkedHashMap<String, Unread>()
    private val running = HashSet<String>()
    private var unreadTokens = 0.0
    private var othersWaitMillis = 0.0
    private var othersSeenAtMillis = 0L
    private var millisPerToken = settings.initialMillisPerToken
    private var tokensPerMilli = settings.initialTokensPerMilli
    private var credit = 0.0
    private var creditAtMillis = 0L
    private var slowedAtMillis = Long.MIN_VALUE / 2
    private var raisedAtMillis = 0L
    private var slowdown = 1.0
    private var slowdownSeenAtMillis = 0L

    override val inFlight: Int get() = unread.size + running.size

    override fun hasRoom(nowMillis: Long, cost: Double): Boolean =
        creditAt(nowMillis) >= 0 && (unread.isEmpty() || unreadTokens + cost <= settings.maxUnreadTokens)

    override fun expectedWaitMillis(nowMillis: Long): Double {
        val fade = 1.0 - (nowMillis - othersSeenAtMillis).toDouble() / settings.fadeMillis
        val others = othersWaitMillis * fade.coerceIn(0.0, 1.0)
        return others + unreadTokens * millisPerToken * currentSlowdown(nowMillis)
    }

    override fun serviceMillis(cost: Double): Double = cost * millisPerToken

    override fun sent(nowMillis: Long, id: String, cost: Double) {
        credit = creditAt(nowMillis) - cost
        creditAtMillis = nowMillis
        unread[id] = Unread(cost, nowMillis, unreadTokens)
        unreadTokens += cost
    }

    override fun began(nowMillis: Long, id: String, report: LoadReport?) {
        report?.let {
            slowdown = it.slowdown
            slowdownSeenAtMillis = nowMillis
        }
        val entry = remove(id) ?: return
        running += id
        val elapsedMillis = (nowMillis - entry.sentAtMillis).toDouble()
        learnRate(entry.cost, elapsedMillis)
        val ownMillis = (entry.cost + entry.aheadTokens) * millisPerToken
        val othersMillis = (elapsedMillis - ownMillis - settings.startMillis).coerceAtLeast(0.0)
        othersWaitMillis += settings.smoothing * (othersMillis - othersWaitMillis)
        othersSeenAtMillis = nowMillis
        val waitedMillis = elapsedMillis - entry.cost * millisPerToken
        val full = report != null && report.waiting > 0
        if (full || waitedMillis > settings.targetWaitMillis) slow(nowMillis) else raise(nowMillis)
    }

    override fun gapObserved(nowMillis: Long, gapMillis: Long, allowedMillis: Long) {
        if (gapMillis > allowedMillis * settings.targetGap) slow(nowMillis) else raise(nowMillis)
    }

    override fun ended(nowMillis: Long, id: String, outcome: SendOutcome) {
        val unstarted = remove(id)
        running -= id
        if (outcome == SendOutcome.REFUSED) slow(nowMillis)
        if (outcome == SendOutcome.FAILED && unstarted != null) slow(nowMillis)
    }

    private fun remove(id: String): Unread? {
        val entry = unread.remove(id) ?: return null
        unreadTokens = if (unread.isEmpty()) 0.0 else unreadTokens - entry.cost
        return entry
    }

    /** Follows a low quantile of the time a token took, because most samples contain waiting as well. */
    private fun learnRate(cost: Double, elapsedMillis: Double) {
        if (cost < settings.rateSampleTokens) return
        val sample = (elapsedMillis - settings.startMillis).coerceAtLeast(0.0) / cost
        val step = if (sample < millisPerToken) settings.rateFallStep else settings.rateRiseStep
        millisPerToken =
            (millisPerToken + step * (sample - millisPerToken)).coerceIn(
                settings.leastMillisPerToken,
                settings.mostMillisPerToken,
            )
    }

    private fun creditAt(nowMillis: Long): Double =
        (credit + (nowMillis - creditAtMillis) * tokensPerMilli).coerceAtMost(settings.burstTokens)

    private fun slow(nowMillis: Long) {
        if (nowMillis - slowedAtMillis < settings.slowPauseMillis) return
        slowedAtMillis = nowMillis
        setRate(nowMillis, tokensPerMilli * settings.slowFactor)
    }

    /** Raises the rate where this host uses it; one that sends little learns nothing from good answers. */
    private fun raise(nowMillis: Long) {
        if (nowMillis - raisedAtMillis < settings.raisePauseMillis || creditAt(nowMillis) >= settings.burstTokens) return
        raisedAtMillis = nowMillis
        setRate(nowMillis, tokensPerMilli + settings.raiseTokensPerMilli)
    }

    private fun setRate(nowMillis: Long, rate: Double) {
        credit = creditAt(nowMillis)
        creditAtMillis = nowMillis
        tokensPerMilli = rate.coerceIn(settings.leastTokensPerMilli, settings.mostTokensPerMilli)
    }

    private fun currentSlowdown(nowMillis: Long): Double =
        if (nowMillis - slowdownSeenAtMillis < settings.slowdownFreshMillis) slowdown else 1.0
}

/**
 * Constants of [EngineLoad].
 *
 * @property initialMillisPerToken reading time of a prompt token before any was seen, in milliseconds; a large model on
 * several accelerators reads some 80 tokens in a millisecond.
 * @property leastMillisPerToken lower bound of the learned reading time, in milliseconds.
 * @property mostMillisPerToken upper bound of the learned reading time, in milliseconds.
 * @property rateSampleTokens least cost of a request from which the reading time is learned; shorter ones are mostly
 * overhead.
 * @property rateFallStep part of the way to a lower sample; with [rateRiseStep] it settles near the fifth part of all
 * samples.
 * @property startMillis time from the end of reading to the first token and its way back, in milliseconds.
 * @property smoothing part of the way that one sample of other hosts' work moves the estimate.
 * @property fadeMillis time after which that estimate counts for nothing, in milliseconds; queues of engines turn over in
 * less.
 * @property targetWaitMillis longest wait in the engine that is no sign of overload, in milliseconds; a quarter of the usual
 * objective of 800 ms, so that the rest of it can be spent in the host's fair queue.
 * @property targetGap part of the longest pause between events that is no sign of overload; neighbours on the engine's
 * machine slow it down without notice, and the rest is for that.
 * @property initialTokensPerMilli rate before anything was seen, in tokens a millisecond; an even part of an engine for nine
 * hosts.
 * @property leastTokensPerMilli lower bound of the rate, so that every engine is tried again.
 * @property mostTokensPerMilli upper bound of the rate: a whole engine's.
 * @property raiseTokensPerMilli step by which the rate rises.
 * @property raisePauseMillis least time between two such steps, in milliseconds.
 * @property slowFactor part of the rate that is left after a sign of overload.
 * @property slowPauseMillis least time between two such steps, in milliseconds: one turnover of the engine's queue.
 * @property burstTokens tokens that may be sent at once after a pause.
 * @property maxUnreadTokens tokens of this host that may be unread at one engine; what is there is lost when the engine is.
 * @property slowdownFreshMillis how long a reported slowdown counts, in milliseconds; neighbours change several times a
 * second.
 */
public data class EngineLoadSettings(
    public val initialMillisPerToken: Double = 0.0125,
    public val leastMillisPerToken: Double = 0.002,
    public val mostMillisPerToken: Double = 0.2,
    public val rateSampleTokens: Double = 2_000.0,
    public val rateFallStep: Double = 0.1,
    public val rateRiseStep: Double = 0.025,
    public val startMillis: Double = 25.0,
    public val smoothing: Double = 0.4,
    public val fadeMillis: Double = 1_500.0,
    public val targetWaitMillis: Double = 200.0,
    public val targetGap: Double = 1.0,
    public val initialTokensPerMilli: Double = 10.0,
    public val leastTokensPerMilli: Double = 1.0,
    public val mostTokensPerMilli: Double = 100.0,
    public val raiseTokensPerMilli: Double = 0.4,
    public val raisePauseMillis: Long = 100,
    public val slowFactor: Double = 0.85,
    public val slowPauseMillis: Long = 200,
    public val burstTokens: Double = 6_000.0,
    public val maxUnreadTokens: Double = 30_000.0,
    public val slowdownFreshMillis: Long = 300,
) {
    /** Returns these settings for a fleet of [hosts] hosts, which share each engine's rate. */
    public fun forHosts(hosts: Int): EngineLoadSettings {
        val part = REFERENCE_HOSTS / hosts.coerceAtLeast(1)
        return copy(
            initialTokensPerMilli = initialTokensPerMilli * part,
            leastTokensPerMilli = leastTokensPerMilli * part,
            raiseTokensPerMilli = raiseTokensPerMilli * part,
        )
    }

    private companion object {
        /** Hosts for which the rates stand in the defaults. */
        const val REFERENCE_HOSTS = 9.0
    }
}
