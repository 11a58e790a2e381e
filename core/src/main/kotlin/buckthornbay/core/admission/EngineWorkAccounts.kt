package buckthornbay.core.admission

import buckthornbay.protocol.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.exp

/**
 * Work that hosts have sent to the engines of a service.
 *
 * @property pendingTokens work that was sent and whose response has not begun, in tokens.
 * @property begunTokensPerSecond rate at which responses have begun recently, in tokens per second.
 */
@Serializable
public data class EngineWork(
    @SerialName("p") public val pendingTokens: Double = 0.0,
    @SerialName("r") public val begunTokensPerSecond: Double = 0.0,
) {
    /** Time for which work waits in the engines on average before its response begins, in milliseconds; null if none begins. */
    public val waitMillis: Double?
        get() = if (begunTokensPerSecond > 0) pendingTokens / begunTokensPerSecond * MILLIS_PER_SECOND else null

    public operator fun plus(other: EngineWork): EngineWork =
        EngineWork(pendingTokens + other.pendingTokens, begunTokensPerSecond + other.begunTokensPerSecond)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * The work that all hosts have sent to the engines, by service.
 *
 * An engine has one queue for all hosts, and a host sees few of its responses. What all hosts have sent and what has begun tells
 * each of them how long work waits in the engines, whatever their speed is at present.
 *
 * @param timeConstantMillis time constant of the rates, in milliseconds.
 */
public class EngineWorkAccounts(private val timeConstantMillis: Double = DEFAULT_TIME_CONSTANT_MILLIS) {
    private class OwnWork(var pendingTokens: Double = 0.0, var begunTokens: Double = 0.0, var asOfMillis: Long = 0)

    private class Snapshot(val work: Map<ServiceId, EngineWork>, val asOfMillis: Long)

    private val own = HashMap<ServiceId, OwnWork>()
    private val snapshots = LinkedHashMap<String, Snapshot>()

    /** Services to whose engines any host has sent work. */
    public val services: Set<ServiceId> get() = own.keys + snapshots.values.flatMap { it.work.keys }

    /** Records that [tokens] of work were sent to an engine of [service]. */
    public fun sent(service: ServiceId, tokens: Double) {
        ownOf(service).pendingTokens += tokens
    }

    /** Records that the response to [tokens] of work that were sent has begun. */
    public fun begun(nowMillis: Long, service: ServiceId, tokens: Double) {
        dropped(service, tokens)
        val work = ownOf(service)
        work.begunTokens = decayed(nowMillis, work) + tokens
        work.asOfMillis = nowMillis
    }

    /** Records that [tokens] of work that were sent will not begin. */
    public fun dropped(service: ServiceId, tokens: Double) {
        val work = ownOf(service)
        work.pendingTokens = (work.pendingTokens - tokens).coerceAtLeast(0.0)
    }

    /** Stores the [work] that [source], a host or a group of hosts, reports, in place of its previous report. */
    public fun putSnapshot(nowMillis: Long, source: String, work: Map<ServiceId, EngineWork>) {
        snapshots[source] = Snapshot(work, nowMillis)
        snapshots.values.removeIf { nowMillis - it.asOfMillis > SNAPSHOT_TTL_MILLIS }
    }

    /** Returns the sum of the reports of the sources that [include] accepts, and of this host if [withOwn]. */
    public fun sumOf(nowMillis: Long, withOwn: Boolean, include: (String) -> Boolean): Map<ServiceId, EngineWork> {
        val sums = HashMap<ServiceId, EngineWork>()
        if (withOwn) own.keys.forEach { sums[it] = ownWork(nowMillis, it) }
        for ((source, snapshot) in snapshots) {
            if (!include(source) || nowMillis - snapshot.asOfMillis > SNAPSHOT_TTL_MILLIS) continue
            for ((service, work) in snapshot.work) sums.merge(service, work, EngineWork::plus)
        }
        return sums
    }

    /** Returns the work that this host has sent to [service]. */
    public fun ownWork(nowMillis: Long, service: ServiceId): EngineWork {
        val work = own[service] ?: return EngineWork()
        return EngineWork(work.pendingTokens, decayed(nowMillis, work) / timeConstantMillis * MILLIS_PER_SECOND)
    }

    /** Returns the work that all hosts have sent to [service]. */
    public fun fleetWork(nowMillis: Long, service: ServiceId): EngineWork =
        sumOf(nowMillis, withOwn = true) { true }[service] ?: EngineWork()

    /** Returns the work that all hosts have sent to the engines of all services. */
    public fun fleetWork(nowMillis: Long): EngineWork =
        sumOf(nowMillis, withOwn = true) { true }.values.fold(EngineWork(), EngineWork::plus)

    private fun ownOf(service: ServiceId) = own.getOrPut(service) { OwnWork() }

    private fun decayed(nowMillis: Long, work: OwnWork): Double =
        work.begunTokens * exp(-(nowMillis - work.asOfMillis) / timeConstantMillis)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Default time constant of the rates, in milliseconds: the time in which reports reach all hosts. */
        const val DEFAULT_TIME_CONSTANT_MILLIS = 1_000.0

        /** How long a report is valid, in milliseconds: several exchange periods, as a message may be lost. */
        const val SNAPSHOT_TTL_MILLIS = 2_000L
    }
}
