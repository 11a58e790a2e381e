package buckthornbay.core.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.abs

/**
 * What a host tells its peers about the limit that an upstream states.
 *
 * @property upstream identity of the upstream's incarnation.
 * @property perSecond requests per second that the upstream takes from all hosts together; null if it states no limit any more.
 * @property statement identity of the statement: the id of the request in whose response it came.
 * @property ageMillis time since the statement, in milliseconds.
 */
@Serializable
public data class RateLimitNews(
    @SerialName("u") public val upstream: String,
    @SerialName("l") public val perSecond: Double? = null,
    @SerialName("i") public val statement: String,
    @SerialName("t") public val ageMillis: Long,
)

/** A change of the limit that [upstream] states to [perSecond] requests per second; null if it states none any more. */
public data class RateLimitChange(public val upstream: String, public val perSecond: Double?)

/**
 * The request rate limits that upstreams state in their responses, as known to this host.
 *
 * A limit holds until a later response of the same incarnation states another one or none. The latest statement wins, at
 * whichever host it arrived.
 */
public class StatedRateLimits(private val settings: StatedRateLimitSettings = StatedRateLimitSettings()) {
    /** A statement and the number of messages that have passed it on. */
    private class Statement(
        val id: String,
        val perSecond: Double?,
        val atMillis: Long,
        val changedAtMillis: Long,
        var relayCount: Int = 0,
    )

    private val statements = LinkedHashMap<String, Statement>()

    /** Number of upstreams that state a limit. */
    public val size: Int get() = statements.values.count { it.perSecond != null }

    /** The limits by upstream, for all hosts together, in requests per second. */
    public val limits: Map<String, Double>
        get() = statements.entries.mapNotNull { (upstream, it) -> it.perSecond?.let { limit -> upstream to limit } }.toMap()

    /** Returns the limit of [upstream] for all hosts together, in requests per second; null if it states none. */
    public fun limitOf(upstream: String): Double? = statements[upstream]?.perSecond

    /** Records that the response to request [id] states the limit [perSecond], null for none, and returns the change, if any. */
    public fun record(nowMillis: Long, upstream: String, perSecond: Double?, id: String): RateLimitChange? =
        adopt(nowMillis, upstream, Statement(id, perSecond, nowMillis, nowMillis))

    /** Returns recent changes for a peer, the least often relayed first; later hosts learn limits from responses. */
    public fun news(nowMillis: Long): List<RateLimitNews> = statements.entries
        .filter { (_, it) -> nowMillis - it.changedAtMillis <= settings.relayMillis }
        .sortedBy { (_, it) -> it.relayCount }
        .take(settings.maxNews)
        .onEach { (_, it) -> it.relayCount++ }
        .map { (upstream, it) -> RateLimitNews(upstream, it.perSecond, it.id, nowMillis - it.atMillis) }

    /** Merges the [news] of a peer and returns the changes. */
    public fun merge(nowMillis: Long, news: List<RateLimitNews>): List<RateLimitChange> = news.mapNotNull {
        adopt(nowMillis, it.upstream, Statement(it.statement, it.perSecond, nowMillis - it.ageMillis, nowMillis))
    }

    /** Forgets the upstreams that are not among [upstreams], the registered ones. */
    public fun retain(upstreams: Set<String>) {
        statements.keys.retainAll(upstreams)
    }

    private fun adopt(nowMillis: Long, upstream: String, statement: Statement): RateLimitChange? {
        val known = statements[upstream]
        if (known == null && statement.perSecond == null) return null
        if (known != null && !supersedes(statement, known)) return null
        val changed = known == null || isChange(known.perSecond, statement.perSecond)
        statements[upstream] = if (changed) {
            Statement(statement.id, statement.perSecond, statement.atMillis, nowMillis)
        } else {
            Statement(statement.id, statement.perSecond, statement.atMillis, known.changedAtMillis, known.relayCount)
        }
        return if (changed) RateLimitChange(upstream, statement.perSecond) else null
    }

    /** Small changes are not passed on, because an upstream may state another figure in each response. */
    private fun isChange(from: Double?, to: Double?): Boolean =
        if (from == null || to == null) from != to else abs(to - from) > settings.minChange * from

    /** A response without a limit may have been sent before the one that stated it and have arrived later, at another host. */
    private fun supersedes(statement: Statement, known: Statement): Boolean {
        val endsLimit = statement.perSecond == null && known.perSecond != null
        val minDelayMillis = if (endsLimit) settings.reorderMillis else 0
        return statement.id != known.id && statement.atMillis >= known.atMillis + minDelayMillis
    }
}

/**
 * Constants of [StatedRateLimits].
 *
 * @property relayMillis how long a change is passed on to peers, in milliseconds; gossip reaches all hosts within two seconds.
 * @property maxNews maximum number of upstreams in a message, which bounds its size.
 * @property minChange minimum change of a limit that is passed on, as a part of it; other hosts learn smaller ones from
 * responses.
 * @property reorderMillis time within which responses of one upstream may arrive out of order at different hosts, in
 * milliseconds: several times the latency between regions.
 */
public data class StatedRateLimitSettings(
    public val relayMillis: Long = 10_000,
    public val maxNews: Int = 32,
    public val minChange: Double = 0.1,
    public val reorderMillis: Long = 100,
)
