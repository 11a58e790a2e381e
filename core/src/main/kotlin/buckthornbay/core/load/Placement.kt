package buckthornbay.core.load

import buckthornbay.core.LruMap
import buckthornbay.core.membership.rendezvousOrder
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.UpstreamId

/**
 * An upstream that a request may be sent to.
 *
 * @property region region of the upstream; null if it is unknown.
 * @property cache model of the engine's prefix cache; null for a plain service.
 * @property softwareVersion version of the upstream's software; null if it is unknown.
 * @param pausedUntilMillis time until which the upstream wants no requests from this host, in milliseconds.
 */
public class Candidate(
    public val id: UpstreamId,
    public val region: RegionId?,
    public val load: UpstreamLoad,
    public val reliability: UpstreamReliability,
    public val cache: PrefixCacheModel?,
    public val softwareVersion: String? = null,
    private val pausedUntilMillis: () -> Long = { Long.MIN_VALUE / 2 },
) {
    /** Time from which the upstream may be used, in milliseconds: the end of its pause and of the backoff after a failure. */
    public val usableFromMillis: Long get() = maxOf(pausedUntilMillis(), reliability.backoffUntilMillis)
}

/**
 * The upstream chosen for a request.
 *
 * @property cost work before the first output: prompt tokens to prefill, or 1 for a plain service.
 * @property expectedMillis expected time to the first byte of the response, in milliseconds.
 * @property onPreferredEngine whether the upstream is the most preferred engine of the request's shared part.
 * @property copyFrom engine from whose prefix cache the upstream should copy the shared part; null if nothing is copied.
 */
public data class Choice(
    public val upstream: Candidate,
    public val cost: Double,
    public val expectedMillis: Double,
    public val onPreferredEngine: Boolean,
    public val copyFrom: Candidate? = null,
)

/** What [Placement] decides about a queued request. */
public sealed interface PlacementDecision {
    /** The request is sent. */
    public data class Send(public val choice: Choice) : PlacementDecision

    /** The request of [cost] stays queued for [upstream], which has no room but a clearly better score than those that have. */
    public data class Await(public val upstream: Candidate, public val cost: Double) : PlacementDecision {
        /** Returns whether the upstream may be used and still has no room, so that the decision would be the same. */
        public fun isCurrent(nowMillis: Long): Boolean =
            upstream.usableFromMillis <= nowMillis && !upstream.load.hasRoom(nowMillis, cost)
    }

    /** The request stays queued, because no upstream has room. */
    public data object NoRoom : PlacementDecision
}

/**
 * A policy that sends each request to the upstream with the lowest score.
 *
 * The score is the expected response time plus penalties for failures, consumed engine time and traffic between regions.
 *
 * Requests share long prompt parts while engines are nearly saturated. All hosts therefore prefer the same engine for a shared
 * part, determined by rendezvous hashing, until queueing there costs more than prefill elsewhere. The other engine then copies
 * the part from an engine that probably has it cached, which takes a fraction of the prefill time.
 */
public class Placement(private val region: RegionId, private val settings: PlacementSettings = PlacementSettings()) {
    /** Latest lists of engines, each with its orders: requests with different home regions have different engines. */
    private val orderings = ArrayDeque<EngineOrders>()

    /** Returns the best of [candidates] that has room, or null if the request should stay queued; see [decide]. */
    public fun choose(nowMillis: Long, candidates: List<Candidate>, demand: TokenDemand?, waitForBest: Boolean): Choice? =
        (decide(nowMillis, candidates, demand, waitForBest) as? PlacementDecision.Send)?.choice

    /**
     * Decides whether a request is sent to the best of [candidates] that has room or stays queued.
     *
     * With [waitForBest] it also stays queued when an upstream without room has a clearly better score than the best one that
     * has room.
     */
    public fun decide(
        nowMillis: Long,
        candidates: List<Candidate>,
        demand: TokenDemand?,
        waitForBest: Boolean,
    ): PlacementDecision {
        val usable = candidates.filter { it.usableFromMillis <= nowMillis }
        // Under load nearly every call returns here, before the cost of rendezvous hashing.
        if (usable.none { it.load.hasRoom(nowMillis, minCostOf(demand)) }) return PlacementDecision.NoRoom
        val preferred = preferredEnginesOf(demand?.sharedPart, usable)
        val cachedPrefixes = usable.map { cachedPrefixOf(nowMillis, it, demand) }
        val cacheHolder = demand?.let { cacheHolderOf(cachedPrefixes, it, preferred) }
        val scored = cachedPrefixes.map { score(nowMillis, it, demand, preferred, cacheHolder) }
        val withRoom = scored.filter { it.upstream.load.hasRoom(nowMillis, it.cost) }
        val best = withRoom.minByOrNull { it.scoreMillis } ?: return PlacementDecision.NoRoom
        val first = scored.minBy { it.scoreMillis }
        if (waitForBest && first.scoreMillis + settings.waitForBestGainMillis < best.scoreMillis) {
            return PlacementDecision.Await(first.upstream, first.cost)
        }
        val isPreferred = best.upstream === preferred.first
        return PlacementDecision.Send(Choice(best.upstream, best.cost, best.expectedMillis, isPreferred, best.copyFrom))
    }

    private class ScoredCandidate(
        val upstream: Candidate,
        val cost: Double,
        val expectedMillis: Double,
        val scoreMillis: Double,
        val copyFrom: Candidate?,
    )

    /** The two engines that all hosts prefer for a shared part, in order of preference. */
    private class PreferredEngines(val first: Candidate?, val second: Candidate?)

    /** The preferred engines of the prompt parts among [engines]. */
    private class EngineOrders(val engines: List<Candidate>) {
        val byPart = LruMap<String, PreferredEngines>(MAX_ORDERS)
    }

    /** The length in [tokens] of the prompt prefix that [upstream] has cached, as far as this host knows. */
    private class CachedPrefix(val upstream: Candidate, val tokens: Int)

    /** An engine to copy a prompt part from; copying a token costs as much as the prefill of [tokenCost] tokens. */
    private class CopySource(val engine: Candidate, val tokenCost: Double)

    private fun cachedPrefixOf(nowMillis: Long, candidate: Candidate, demand: TokenDemand?) =
        CachedPrefix(candidate, demand?.let { candidate.cache?.cachedTokens(nowMillis, it) } ?: 0)

    private fun score(
        nowMillis: Long,
        cachedPrefix: CachedPrefix,
        demand: TokenDemand?,
        preferred: PreferredEngines,
        cacheHolder: Candidate?,
    ): ScoredCandidate {
        val candidate = cachedPrefix.upstream
        val shared = demand?.sharedTokens ?: 0
        val source = copySourceFor(candidate, preferred, cacheHolder)
            .takeIf { shared - cachedPrefix.tokens >= settings.minCopiedTokens }
        val assumedTokens = if (candidate === preferred.first) maxOf(cachedPrefix.tokens, shared) else cachedPrefix.tokens
        val cost = costOf(demand, assumedTokens, source)
        val expectedMillis = expectedMillis(nowMillis, candidate, cost)
        val scoreMillis = expectedMillis + penaltyMillis(nowMillis, candidate, cost)
        return ScoredCandidate(candidate, cost, expectedMillis, scoreMillis, source?.engine)
    }

    /** The two preferred engines copy from each other, in case only the other one has the part cached. */
    private fun copySourceFor(candidate: Candidate, preferred: PreferredEngines, cacheHolder: Candidate?): CopySource? = when {
        cacheHolder != null && cacheHolder !== candidate -> CopySource(cacheHolder, settings.copyCost)
        candidate === preferred.first -> preferred.second?.let { CopySource(it, settings.copyCost) }
        candidate === preferred.second -> preferred.first?.let { CopySource(it, settings.secondCopyCost) }
        else -> preferred.first?.let { CopySource(it, settings.uncertainCopyCost) }
    }

    private fun minCostOf(demand: TokenDemand?): Double = if (demand == null) 1.0 else settings.minPrefillTokens.toDouble()

    private fun costOf(demand: TokenDemand?, cached: Int, source: CopySource?): Double {
        if (demand == null) return 1.0
        val copied = if (source == null) 0 else (demand.sharedTokens - cached).coerceAtLeast(0)
        val copyCost = copied * (source?.tokenCost ?: 0.0)
        return (demand.promptTokens - cached - copied + copyCost).coerceAtLeast(settings.minPrefillTokens.toDouble())
    }

    private fun expectedMillis(nowMillis: Long, candidate: Candidate, cost: Double): Double {
        val roundTripMillis = if (candidate.region == region) 0.0 else settings.regionRoundTripMillis
        return candidate.load.expectedWaitMillis(nowMillis) + candidate.load.serviceMillis(cost) + roundTripMillis
    }

    private fun penaltyMillis(nowMillis: Long, candidate: Candidate, cost: Double): Double {
        val failureRate = candidate.reliability.expectedFailureRate(nowMillis)
        val failures = settings.failurePenaltyMillis * failureRate / (1.0 - failureRate).coerceAtLeast(MIN_SUCCESS_RATE)
        val capacity = if (candidate.cache == null) 0.0 else settings.capacityWeight * candidate.load.serviceMillis(cost)
        val traffic = if (candidate.region == region) 0.0 else settings.regionTrafficPenaltyMillis
        return failures + capacity + traffic
    }

    private fun preferredEnginesOf(part: String?, candidates: List<Candidate>): PreferredEngines {
        if (part == null) return PreferredEngines(null, null)
        return ordersOf(candidates).byPart.getOrPut(part) {
            val order = rendezvousOrder(part, candidates.filter { it.cache != null }) { it.id.value }
            PreferredEngines(order.getOrNull(0), order.getOrNull(1))
        }
    }

    private fun ordersOf(engines: List<Candidate>): EngineOrders {
        orderings.firstOrNull { it.engines == engines }?.let { return it }
        if (orderings.size >= MAX_ORDERINGS) orderings.removeFirst()
        return EngineOrders(engines).also { orderings.addLast(it) }
    }

    /** Returns an engine that probably has the shared parts of [demand] cached, if possible the most preferred one. */
    private fun cacheHolderOf(cachedPrefixes: List<CachedPrefix>, demand: TokenDemand, preferred: PreferredEngines): Candidate? {
        val holders = cachedPrefixes.filter { it.tokens >= demand.sharedTokens }.map { it.upstream }
        return holders.firstOrNull { it === preferred.first } ?: holders.firstOrNull()
    }

    private companion object {
        const val MIN_SUCCESS_RATE = 0.05

        /** Maximum number of prompt parts whose preferred engines are remembered; a fleet uses a few thousand. */
        const val MAX_ORDERS = 4_096

        /** Maximum number of lists of engines whose orders are remembered: the sets of home regions of a configuration. */
        const val MAX_ORDERINGS = 8
    }
}

/**
 * Constants of [Placement].
 *
 * @property capacityWeight weight of the engine time that a request takes from other requests, relative to its own wait.
 * @property regionRoundTripMillis round-trip time to another region, in milliseconds.
 * @property regionTrafficPenaltyMillis additional wait accepted to avoid paid traffic between regions, in milliseconds.
 * @property failurePenaltyMillis penalty for a failed attempt, in milliseconds; about a usual latency objective.
 * @property minPrefillTokens tokens that an engine prefills even if the whole prompt is cached.
 * @property minCopiedTokens number of tokens below which copying takes longer than prefill.
 * @property copyCost cost of copying a token, in prefilled tokens: engines copy about 600 tokens per millisecond and prefill 80.
 * @property secondCopyCost the same for the second preferred engine of a part, which either has it cached or copies it from the
 * first.
 * @property uncertainCopyCost the same if it is unknown whether the source engine still has the part cached.
 * @property waitForBestGainMillis minimum advantage in score for which a request waits for a better upstream, in milliseconds.
 */
public data class PlacementSettings(
    public val capacityWeight: Double = 4.0,
    public val regionRoundTripMillis: Double = 16.0,
    public val regionTrafficPenaltyMillis: Double = 10.0,
    public val failurePenaltyMillis: Double = 600.0,
    public val minPrefillTokens: Int = 16,
    public val minCopiedTokens: Int = 256,
    public val copyCost: Double = 0.15,
    public val secondCopyCost: Double = 0.35,
    public val uncertainCopyCost: Double = 0.6,
    public val waitForBestGainMillis: Double = 60.0,
)
