package buckthornbay.core.load

import buckthornbay.core.membership.rendezvousOrder
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.UpstreamId

/**
 * An upstream that a request may be sent to.
 *
 * @property cache what the upstream is believed to keep; null for a plain service.
 */
public class Candidate(
    public val id: UpstreamId,
    public val region: RegionId?,
    public val load: UpstreamLoad,
    public val reliability: UpstreamReliability,
    public val cache: PrefixCacheModel?,
)

/**
 * Where a request goes.
 *
 * @property cost work that the upstream must do before its first answer: unread prompt tokens, or 1 for a plain service.
 * @property expectedMillis expected time to the first part of the answer, in milliseconds.
 * @property onPreferredEngine whether it is the first engine for the request's shared part.
 * @property copyFrom the engine from which the upstream should copy what that one keeps of the prompt; null for none.
 */
public data class Choice(
    public val upstream: Candidate,
    public val cost: Double,
    public val expectedMillis: Double,
    public val onPreferredEngine: Boolean,
    public val copyFrom: Candidate? = null,
)

/**
 * Chooses the upstream with the least expected time, counting work that other upstreams would be spared.
 *
 * It answers load in which requests share long prompt parts and engines are nearly full: every host sends a part to the same
 * engine first, by rendezvous hashing, until waiting there costs more than work elsewhere. There the part is copied from an
 * engine that is believed to keep it, which takes a fraction of the time of reading it again.
 */
public class Placement(private val region: RegionId, private val settings: PlacementSettings = PlacementSettings()) {
    /**
     * Returns the best of [candidates] that has room, or null where none has.
     *
     * A [patient] request waits for the upstream that is best for all rather than take one that only happens to have room.
     */
    public fun choose(nowMillis: Long, candidates: List<Candidate>, demand: TokenDemand?, patient: Boolean): Choice? {
        val usable = candidates.filter { it.reliability.isUsable(nowMillis) }
        // Under load nearly every call ends here; a part's engines need not be worked out for it.
        if (usable.none { it.load.hasRoom(nowMillis, leastCostOf(demand)) }) return null
        val homes = homesOf(demand?.sharedPart, usable)
        val kept = usable.map { keptAt(nowMillis, it, demand) }
        val reader = demand?.let { readerOf(kept, it, homes) }
        val offers = kept.map { offer(nowMillis, it, demand, homes, reader) }
        val withRoom = offers.filter { it.upstream.load.hasRoom(nowMillis, it.cost) }
        val best = withRoom.minByOrNull { it.price } ?: return null
        val worthWaiting = patient && offers.any { it.price + settings.patiencePrice < best.price }
        if (worthWaiting) return null
        return Choice(best.upstream, best.cost, best.expectedMillis, best.upstream === homes.first, best.copyFrom)
    }

    private class Offer(
        val upstream: Candidate,
        val cost: Double,
        val expectedMillis: Double,
        val price: Double,
        val copyFrom: Candidate?,
    )

    /** The engines that every host prefers for a shared part, in this order. */
    private class Homes(val first: Candidate?, val second: Candidate?)

    /** How many tokens at the beginning of the prompt this host knows [upstream] to keep. */
    private class Kept(val upstream: Candidate, val tokens: Int)

    /** An engine from which a prompt part may be copied; a copied token costs [tokenCost] tokens read. */
    private class PromptSource(val engine: Candidate, val tokenCost: Double)

    private fun keptAt(nowMillis: Long, candidate: Candidate, demand: TokenDemand?) =
        Kept(candidate, demand?.let { candidate.cache?.cachedTokens(nowMillis, it) } ?: 0)

    private fun offer(nowMillis: Long, kept: Kept, demand: TokenDemand?, homes: Homes, reader: Candidate?): Offer {
        val candidate = kept.upstream
        val shared = demand?.sharedTokens ?: 0
        val source = sourceFor(candidate, homes, reader).takeIf { shared - kept.tokens >= settings.leastCopiedTokens }
        val assumed = if (candidate === homes.first) maxOf(kept.tokens, shared) else kept.tokens
        val cost = costOf(demand, assumed, source)
        val expectedMillis = expectedMillis(nowMillis, candidate, cost)
        val price = expectedMillis + extraPrice(nowMillis, candidate, cost)
        return Offer(candidate, cost, expectedMillis, price, source?.engine)
    }

    /** The first engine is asked also by the second, in case it has read the part and the first one has not. */
    private fun sourceFor(candidate: Candidate, homes: Homes, reader: Candidate?): PromptSource? = when {
        reader != null && reader !== candidate -> PromptSource(reader, settings.copyCost)
        candidate === homes.first -> homes.second?.let { PromptSource(it, settings.copyCost) }
        candidate === homes.second -> homes.first?.let { PromptSource(it, settings.secondCopyCost) }
        else -> homes.first?.let { PromptSource(it, settings.uncertainCopyCost) }
    }

    private fun leastCostOf(demand: TokenDemand?): Double = if (demand == null) 1.0 else settings.leastReadTokens.toDouble()

    private fun costOf(demand: TokenDemand?, cached: Int, source: PromptSource?): Double {
        if (demand == null) return 1.0
        val copied = if (source == null) 0 else (demand.sharedTokens - cached).coerceAtLeast(0)
        val copyCost = copied * (source?.tokenCost ?: 0.0)
        return (demand.promptTokens - cached - copied + copyCost).coerceAtLeast(settings.leastReadTokens.toDouble())
    }

    private fun expectedMillis(nowMillis: Long, candidate: Candidate, cost: Double): Double {
        val distance = if (candidate.region == region) 0.0 else settings.regionRoundTripMillis
        return candidate.load.expectedWaitMillis(nowMillis) + candidate.load.serviceMillis(cost) + distance
    }

    private fun extraPrice(nowMillis: Long, candidate: Candidate, cost: Double): Double {
        val failureRate = candidate.reliability.expectedFailureRate(nowMillis)
        val failures = settings.failureMillis * failureRate / (1.0 - failureRate).coerceAtLeast(LEAST_SUCCESS)
        val capacity = if (candidate.cache == null) 0.0 else settings.capacityWeight * candidate.load.serviceMillis(cost)
        val traffic = if (candidate.region == region) 0.0 else settings.regionTrafficMillis
        return failures + capacity + traffic
    }

    private fun homesOf(part: String?, candidates: List<Candidate>): Homes {
        if (part == null) return Homes(null, null)
        val order = rendezvousOrder(part, candidates.filter { it.cache != null }) { it.id.value }
        return Homes(order.getOrNull(0), order.getOrNull(1))
    }

    /** Returns an engine that this host had read the shared parts of [demand], preferably the first one. */
    private fun readerOf(kept: List<Kept>, demand: TokenDemand, homes: Homes): Candidate? {
        val readers = kept.filter { it.tokens >= demand.sharedTokens }.map { it.upstream }
        return readers.firstOrNull { it === homes.first } ?: readers.firstOrNull()
    }

    private companion object {
        const val LEAST_SUCCESS = 0.05
    }
}

/**
 * Constants of [Placement].
 *
 * @property capacityWeight how much the reading time that a choice costs all others counts beside the request's own wait.
 * @property regionRoundTripMillis time of a round trip to another region, in milliseconds.
 * @property regionTrafficMillis wait that is accepted to spare the paid traffic between regions, in milliseconds.
 * @property failureMillis what a failed attempt costs, in milliseconds: a usual objective.
 * @property leastReadTokens tokens that an engine reads even of a prompt that it keeps.
 * @property leastCopiedTokens tokens of a prompt below which copying them takes longer than reading them.
 * @property copyCost work of copying a token in tokens read: engines copy some 600 tokens in a millisecond and read 80.
 * @property secondCopyCost the same at a part's second engine, which either keeps it or copies it from the first.
 * @property uncertainCopyCost the same where it isn't known whether the other engine still keeps them.
 * @property patiencePrice advantage of another upstream for which a patient request waits, in milliseconds.
 */
public data class PlacementSettings(
    public val capacityWeight: Double = 4.0,
    public val regionRoundTripMillis: Double = 16.0,
    public val regionTrafficMillis: Double = 10.0,
    public val failureMillis: Double = 600.0,
    public val leastReadTokens: Int = 16,
    public val leastCopiedTokens: Int = 256,
    public val copyCost: Double = 0.15,
    public val secondCopyCost: Double = 0.35,
    public val uncertainCopyCost: Double = 0.6,
    public val patiencePrice: Double = 60.0,
)
