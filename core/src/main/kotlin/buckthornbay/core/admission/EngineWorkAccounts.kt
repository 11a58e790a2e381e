package buckthornbay.core.admission

import buckthornbay.protocol.ServiceId
import kotlin.math.exp

/**
 * Work that hosts have sent to the engines of a service.
 *
 * @property pendingTokens work that was sent and whose response has not begun, in tokens.
 * @property begunTokensPerSecond rate at which responses have begun recently, in tokens per second.
 */
public data class EngineWork(public val pendingTokens: Double = 0.0, public val begunTokensPerSecond: Double = 0.0) {
    /** Time for which work waits in the engines on average before its response begins, in milliseconds; null if none begins. */
    public val waitMillis: Double?
        get() = if (begunTokensPerSecond > 0) pendingTokens / begunTokensPerSecond * MILLIS_PER_SECOND else null

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * The work that this host has sent to the engines, by service: what is pending, and how fast it begins.
 *
 * @param timeConstantMillis time constant of the rates, in milliseconds.
 */
public class EngineWorkAccounts(private val timeConstantMillis: Double = DEFAULT_TIME_CONSTANT_MILLIS) {
    private class OwnWork(var pendingTokens: Double = 0.0, var begunTokens: Double = 0.0, var asOfMillis: Long = 0)

    private val own = HashMap<ServiceId, OwnWork>()

    /** Services to whose engines this host has sent work. */
    public val services: Set<ServiceId> get() = own.keys

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

    /** Returns the work that this host has sent to [service]. */
    public fun ownWork(nowMillis: Long, service: ServiceId): EngineWork {
        val work = own[service] ?: return EngineWork()
        return EngineWork(work.pendingTokens, decayed(nowMillis, work) / timeConstantMillis * MILLIS_PER_SECOND)
    }

    private fun ownOf(service: ServiceId) = own.getOrPut(service) { OwnWork() }

    private fun decayed(nowMillis: Long, work: OwnWork): Double =
        work.begunTokens * exp(-(nowMillis - work.asOfMillis) / timeConstantMillis)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Default time constant of the rates, in milliseconds. */
        const val DEFAULT_TIME_CONSTANT_MILLIS = 1_000.0
    }
}
