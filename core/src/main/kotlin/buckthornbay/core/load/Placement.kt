package buckthornbay.core.load

import buckthornbay.protocol.RegionId
import buckthornbay.protocol.UpstreamId
import org.apache.commons.codec.digest.MurmurHash3

/**
 * An upstream that a request may be sent to.
 *
 * @property cache what the upstream is believed to keep; null for a plain service.
 */
public class Candidate(
    public val id: UpstreamId,
    public val region: RegionId?,
    public val load: UpstreamLoad,
    public val trust: UpstreamTrust,
    public val cache: PrefixCacheModel?,
)

/**
 * Where a request goes.
 *
 * @property cost work that the upstream must do before its first answer: unread prompt tokens, or 1 for a plain service.
 * @property expectedMillis expected time to the first part of the answer, in milliseconds.
 * @property atHome whether it is the first engine for the request's shared part.
 */
public data class Choice(
    public val upstream: Candidate,
    public val cost: Double,
    public val expectedMillis: Double,
    public val atHome: Boolean,
)

/**
 * Chooses the upstream with the least expected time, counting work that other upstreams would be spared.
 *
 * It answers load in which requests share long prompt parts and engines are nearly full: every host sends a part to the same
 * engine first, by rendezvous hashing, until waiting there costs more than reading the part elsewhere.
 */
public class Placement(private val region: RegionId, private val settings: PlacementSettings = PlacementSettings()) {
    /**
     * Returns the best of [candidates] that has room, or null where none has.
     *
     * A [patient] request waits for the upstream that is best for all rather than take one that only happens to have room.
     */
    public fun choose(nowMillis: Long, candidates: List<Candidate>, demand: TokenDemand?, patient: Boolean): Choice? {
        val usable = candidates.filter { it.trust.isUsable(nowMillis) }
        val home = demand?.sharedPart?.let { homeOf(it, usable) }
        val offers = usable.map { offer(nowMillis, it, demand, it === home) }
        val withRoom = offers.filter { it.upstream.load.hasRoom(nowMillis, it.cost) }
        val best = withRoom.minByOrNull { it.price } ?: return null
        val worthWaiting = patient && offers.any { it.price + settings.patiencePrice < best.price }
        return if (worthWaiting) null else Choice(best.upstream, best.cost, best.expectedMillis, best.upstream === home)
    }

    private class Offer(val upstream: Candidate, val cost: Double, val expectedMillis: Double, val price: Double)

    private fun offer(nowMillis: Long, candidate: Candidate, demand: TokenDemand?, isHome: Boolean): Offer {
        val cost = costAt(nowMillis, candidate, demand, isHome)
        val expectedMillis = expectedMillis(nowMillis, candidate, cost)
        return Offer(candidate, cost, expectedMillis, expectedMillis + extraPrice(nowMillis, candidate, cost))
    }

    private fun costAt(nowMillis: Long, candidate: Candidate, demand: TokenDemand?, isHome: Boolean): Double {
        if (demand == null) return 1.0
        val known = candidate.cache?.cachedTokens(nowMillis, demand) ?: 0
        val cached = if (isHome) maxOf(known, demand.sharedTokens) else known
        return (demand.promptTokens - cached).coerceAtLeast(settings.leastReadTokens).toDouble()
    }

    private fun expectedMillis(nowMillis: Long, candidate: Candidate, cost: Double): Double {
        val distance = if (candidate.region == region) 0.0 else settings.regionRoundTripMillis
        return candidate.load.expectedWaitMillis(nowMillis) + candidate.load.serviceMillis(cost) + distance
    }

    private fun extraPrice(nowMillis: Long, candidate: Candidate, cost: Double): Double {
        val failureRate = candidate.trust.expectedFailureRate(nowMillis)
        val failures = settings.failureMillis * failureRate / (1.0 - failureRate).coerceAtLeast(LEAST_SUCCESS)
        val capacity = if (candidate.cache == null) 0.0 else settings.capacityWeight * candidate.load.serviceMillis(cost)
        val traffic = if (candidate.region == region) 0.0 else settings.regionTrafficMillis
        return failures + capacity + traffic
    }

    private fun homeOf(part: String, candidates: List<Candidate>): Candidate? =
        candidates.filter { it.cache != null }.maxByOrNull { scoreOf(part, it.id) }

    private fun scoreOf(part: String, upstream: UpstreamId): Long {
        val bytes = "$part|${upstream.value}".encodeToByteArray()
        return MurmurHash3.hash128x64(bytes, 0, bytes.size, 0)[0]
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
 * @property patiencePrice advantage of another upstream for which a patient request waits, in milliseconds.
 */
public data class PlacementSettings(
    public val capacityWeight: Double = 4.0,
    public val regionRoundTripMillis: Double = 16.0,
    public val regionTrafficMillis: Double = 10.0,
    public val failureMillis: Double = 600.0,
    public val leastReadTokens: Int = 16,
    public val patiencePrice: Double = 60.0,
)
