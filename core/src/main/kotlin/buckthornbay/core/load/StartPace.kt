package buckthornbay.core.load

import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.protocol.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.pow

/**
 * A host's statement about the pace of an upstream.
 *
 * @property level how many times the first limit was doubled; below zero if it was halved.
 * @property version increases with each change of the level; the latest statement wins.
 */
@Serializable
public data class PaceNews(
    @SerialName("u") public val upstream: String,
    @SerialName("v") public val version: Long,
    @SerialName("l") public val level: Int,
)

/**
 * The pace at which all hosts together use an upstream that has just started or recovered, found from how it answers.
 *
 * Load: an engine with an empty queue looks better than all others to each host of a large fleet, so that all of them send to it
 * within the same moment; or it is avoided for seconds after a failure.
 *
 * The limit begins at a part of what the upstream's slots serve. A response in time doubles it, a late one halves it, and a
 * failure starts over, at whichever host; hosts exchange their latest level, since each of them gets few responses. Without any
 * news it doubles slowly, so that an upstream which no host uses isn't left out. The limit ends when it is beyond what an
 * upstream serves. While most upstreams of a service start together none is limited, as there is nowhere else to send.
 */
public class StartPace(private val settings: StartPaceSettings = StartPaceSettings()) {
    private class Start(val upstream: UpstreamEntry, var level: Int, var version: Long, var changedAtMillis: Long)

    private val starts = LinkedHashMap<String, Start>()
    private val known = HashMap<String, UpstreamEntry>()
    private var countByService = emptyMap<ServiceId, Int>()

    /** Number of upstreams whose pace is being found. */
    public val size: Int get() = starts.size

    /** Adopts the [registered] upstreams; those of the first list have been in use before this host started. */
    public fun update(nowMillis: Long, registered: List<UpstreamEntry>) {
        val isFirstList = known.isEmpty()
        val current = registered.associateBy { it.incarnation }
        starts.keys.retainAll(current.keys)
        if (!isFirstList) (current - known.keys).values.forEach { starts[it.incarnation] = Start(it, 0, 0, nowMillis) }
        known.clear()
        known.putAll(current)
        countByService = registered.groupingBy { it.service }.eachCount()
    }

    /** Records that a response of [upstream] has begun, [inTime] for its caller. */
    public fun answered(nowMillis: Long, upstream: UpstreamEntry, inTime: Boolean) {
        val start = starts[upstream.incarnation] ?: return
        // Responses that come together show the same load once.
        if (nowMillis - start.changedAtMillis < settings.stepMillis) return
        val level = start.level + if (inTime) 1 else -1
        change(nowMillis, start, level.coerceAtLeast(settings.minLevel))
    }

    /** Records that [upstream] could not be reached or lost a request, so that its pace has to be found anew. */
    public fun failed(nowMillis: Long, upstream: UpstreamEntry) {
        if (upstream.incarnation !in known) return
        change(nowMillis, starts.getOrPut(upstream.incarnation) { Start(upstream, 0, 0, nowMillis) }, 0)
    }

    /** Returns the latest changes, for peers. */
    public fun news(nowMillis: Long): List<PaceNews> = starts
        .filterValues { it.version > 0 && nowMillis - it.changedAtMillis <= settings.newsMillis }
        .map { (upstream, start) -> PaceNews(upstream, start.version, start.level) }

    /** Merges the [news] of a peer; of two changes at the same time the more careful one wins. */
    public fun merge(nowMillis: Long, news: List<PaceNews>) {
        for (item in news) {
            val upstream = known[item.upstream] ?: continue
            val start = starts.getOrPut(item.upstream) { Start(upstream, 0, 0, nowMillis) }
            val isLater = item.version > start.version || (item.version == start.version && item.level < start.level)
            if (!isLater) continue
            start.level = item.level
            start.version = item.version
            start.changedAtMillis = nowMillis
        }
    }

    /** Returns the limits by incarnation, in requests per second of all hosts together. */
    public fun limits(nowMillis: Long): Map<String, Double> {
        starts.values.removeIf { nowMillis - it.changedAtMillis > settings.newsMillis && isBeyond(it, nowMillis) }
        val startingByService = starts.values.groupingBy { it.upstream.service }.eachCount()
        return starts.filterValues { start ->
            val service = start.upstream.service
            val isOneOfFew = startingByService.getValue(service) * 2 <= (countByService[service] ?: 0)
            isOneOfFew && !isBeyond(start, nowMillis)
        }.mapValues { (_, start) -> limitOf(start, nowMillis) }
    }

    private fun change(nowMillis: Long, start: Start, level: Int) {
        start.level = level
        start.version++
        start.changedAtMillis = nowMillis
    }

    /** Returns whether the limit of [start] is more than an upstream serves. */
    private fun isBeyond(start: Start, nowMillis: Long): Boolean =
        limitOf(start, nowMillis) >= start.upstream.slots.coerceAtLeast(1) * settings.endPerSlot

    private fun limitOf(start: Start, nowMillis: Long): Double {
        val silentDoublings = (nowMillis - start.changedAtMillis) / settings.silentDoublingMillis
        val level = (start.level + silentDoublings).coerceAtMost(MAX_LEVEL)
        return start.upstream.slots.coerceAtLeast(1) * settings.startPerSlot * DOUBLE.pow(level.toDouble())
    }

    private companion object {
        const val DOUBLE = 2.0

        /** Bounds the power of two. */
        const val MAX_LEVEL = 20L
    }
}

/**
 * Constants of [StartPace].
 *
 * @property startPerSlot first limit, in requests per second and slot; half of what an engine serves of requests that take a
 * second.
 * @property endPerSlot limit at which it ends, in requests per second and slot; more than an engine serves.
 * @property stepMillis shortest time between two steps, in milliseconds: the time in which a request begins.
 * @property silentDoublingMillis time in which the limit doubles without news, in milliseconds; several exchanges between hosts.
 * @property newsMillis how long a change is passed on to peers, in milliseconds.
 * @property minLevel lowest level; an upstream that was slow at first is tried again.
 */
public data class StartPaceSettings(
    public val startPerSlot: Double = 0.5,
    public val endPerSlot: Double = 4.0,
    public val stepMillis: Long = 250,
    public val silentDoublingMillis: Long = 2_000,
    public val newsMillis: Long = 3_000,
    public val minLevel: Int = LOWEST_LEVEL,
)

/** A quarter of the first limit. */
private const val LOWEST_LEVEL = -2
