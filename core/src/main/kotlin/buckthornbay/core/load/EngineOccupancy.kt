package buckthornbay.core.load

import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import kotlin.math.exp

/**
 * The requests that all hosts have in progress at the engines, and how long a request waits for a slot there.
 *
 * Load: engines whose slots are taken by long answers while their prefill is half idle, and many hosts, each of which sees few
 * responses of an engine.
 *
 * Hosts report what they have in progress about a second late, and all of them to all others at about the same time. If they took
 * the reports as they are, all would send to the engine that had the fewest requests. So what has ended since is taken off, and
 * as many new requests are assumed to have gone to the engines with the fewest: these count as equal.
 *
 * Without reports of other hosts nothing is assumed to wait.
 *
 * @param engineSlots returns the slots of each engine of a service that may be used.
 */
public class EngineOccupancy(
    private val settings: EngineOccupancySettings = EngineOccupancySettings(),
    private val engineSlots: (ServiceId) -> Map<UpstreamId, Int>,
) {
    private class Snapshot(val counts: RequestCounts, val asOfMillis: Long)

    private val own = HashMap<UpstreamId, Int>()
    private val snapshots = LinkedHashMap<String, Snapshot>()
    private var others = RequestCounts.NONE
    private var othersAtMillis = Long.MIN_VALUE / 2
    private val services = HashMap<ServiceId, ServiceState>()

    /** The assumptions about the engines of one service. */
    private class ServiceState(var slotHoldMillis: Double) {
        var expected = emptyMap<UpstreamId, Double>()
        var refreshedAtMillis = Long.MIN_VALUE / 2
    }

    /** Records that this host has sent a request to [engine]. */
    public fun sent(engine: UpstreamId) {
        own.merge(engine, 1, Int::plus)
    }

    /** Records that a request of this host at [engine] has ended. */
    public fun ended(engine: UpstreamId) {
        own.computeIfPresent(engine) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Records that an engine of [service] answered a request completely in [millis] milliseconds from its first event on. */
    public fun answered(service: ServiceId, millis: Long) {
        val state = stateOf(service)
        state.slotHoldMillis += settings.smoothing * (millis - state.slotHoldMillis)
    }

    /** Stores the [counts] that [source], a host or a group of hosts, reports, in place of its previous report. */
    public fun putSnapshot(nowMillis: Long, source: String, counts: RequestCounts) {
        snapshots[source] = Snapshot(counts, nowMillis)
        snapshots.values.removeIf { nowMillis - it.asOfMillis > settings.snapshotTtlMillis }
        others = snapshots.values.fold(RequestCounts.NONE) { sum, snapshot -> sum + snapshot.counts }
        othersAtMillis = nowMillis
        services.values.forEach { it.refreshedAtMillis = Long.MIN_VALUE / 2 }
    }

    /** Returns the sum of the reports of the sources that [include] accepts, and of this host if [withOwn]. */
    public fun sumOf(nowMillis: Long, withOwn: Boolean, include: (source: String) -> Boolean): RequestCounts = snapshots
        .filter { (source, snapshot) -> include(source) && nowMillis - snapshot.asOfMillis <= settings.snapshotTtlMillis }
        .values.fold(if (withOwn) RequestCounts.of(own) else RequestCounts.NONE) { sum, snapshot -> sum + snapshot.counts }

    /** Returns the expected time until a request that is sent now to [engine] of [service] gets a slot, in milliseconds. */
    public fun slotWaitMillis(nowMillis: Long, service: ServiceId, engine: UpstreamId): Double {
        if (nowMillis - othersAtMillis > settings.snapshotTtlMillis) return 0.0
        val state = stateOf(service)
        if (nowMillis - state.refreshedAtMillis >= settings.refreshMillis) {
            state.refreshedAtMillis = nowMillis
            state.expected = expectedRequests(nowMillis, service, state.slotHoldMillis)
        }
        val slots = engineSlots(service)[engine] ?: return 0.0
        val surplus = (state.expected[engine] ?: 0.0) - slots + 1
        return if (surplus <= 0 || slots == 0) 0.0 else surplus * state.slotHoldMillis / slots
    }

    /** Returns the requests that are probably in progress at each engine of [service] now. */
    private fun expectedRequests(nowMillis: Long, service: ServiceId, slotHoldMillis: Double): Map<UpstreamId, Double> {
        val ageMillis = settings.reportAgeMillis + nowMillis - othersAtMillis
        val endedPart = 1.0 - exp(-ageMillis / slotHoldMillis.coerceAtLeast(1.0))
        var ended = 0.0
        val left = engineSlots(service).mapValues { (engine, slots) ->
            val ofOthers = others[engine].toDouble()
            val all = ofOthers + (own[engine] ?: 0)
            val endedHere = endedPart * if (all > slots) ofOthers * slots / all else ofOthers
            ended += endedHere
            all - endedHere
        }
        val level = levelOf(left.values, ended)
        return left.mapValues { (_, requests) -> maxOf(requests, level) }
    }

    private fun stateOf(service: ServiceId) = services.getOrPut(service) { ServiceState(settings.initialSlotHoldMillis) }
}

/** Returns the level to which [added] raises the least of [values] together. */
internal fun levelOf(values: Collection<Double>, added: Double): Double {
    val ascending = values.sorted()
    var left = added
    ascending.forEachIndexed { index, value ->
        val next = ascending.getOrElse(index + 1) { Double.MAX_VALUE }
        val needed = (next - value) * (index + 1)
        if (needed >= left) return value + left / (index + 1)
        left -= needed
    }
    return 0.0
}

/**
 * Constants of [EngineOccupancy].
 *
 * @property initialSlotHoldMillis time for which a request holds its slot before the first sample, in milliseconds; an answer of
 * some hundred tokens.
 * @property smoothing smoothing factor of that time: an average over the latest 50 answers.
 * @property reportAgeMillis age of a report when it arrives, in milliseconds: it passes through up to two other hosts, each of
 * which sends every 400 ms.
 * @property refreshMillis how long an estimate is used, in milliseconds; a busy host asks for it thousands of times a second.
 * @property snapshotTtlMillis how long a report is valid, in milliseconds: several exchange periods, as a message may be lost.
 */
public data class EngineOccupancySettings(
    public val initialSlotHoldMillis: Double = 1_000.0,
    public val smoothing: Double = 0.02,
    public val reportAgeMillis: Double = 600.0,
    public val refreshMillis: Long = 25,
    public val snapshotTtlMillis: Long = 2_000,
)
