package buckthornbay.core.admission

import buckthornbay.protocol.ServiceId

/**
 * The limit on the work that waits in the engines.
 *
 * Load: engines that begin less work than the fleet assumes, because they are slow, have crashed or have long queues, and
 * workspaces that ask for more than all engines begin. Engines serve in order of arrival and know no workspaces, so whatever
 * waits there can't be ordered any more. All hosts together therefore have as much work pending as the engines can begin in
 * [EngineWindowSettings.targetWaitMillis]; the rest waits at the hosts. What engines can begin is the estimate of
 * [EngineCapacity]: a limit by what they do begin would lower itself while they are asked for little.
 *
 * In a small fleet nothing is limited here: each host has enough responses of each engine to limit it by itself, and a part of a
 * few requests would leave engines idle.
 *
 * @param work the work that all hosts have sent to the engines.
 * @param hostCount returns the number of live hosts of the fleet.
 * @param capacity returns the throughput of the engines of all services, in tokens per second; null if it is unknown, so that the
 * limit follows from what begins.
 * @param engineCount returns the number of engines of a service that may be used.
 */
public class EngineWindow(
    private val work: EngineWorkAccounts,
    private val hostCount: () -> Int,
    private val settings: EngineWindowSettings = EngineWindowSettings(),
    private val capacity: (nowMillis: Long) -> Double? = { null },
    private val engineCount: (ServiceId) -> Int,
) {
    /**
     * Returns the work that this host may have pending at the engines of [service], in tokens.
     *
     * It is the host's part of the whole limit, and some of what the other hosts leave unused, because hosts have their peaks at
     * different times.
     *
     * @param hostFraction part of the engines that this host may use, from 0 to 1.
     */
    public fun hostTokens(nowMillis: Long, service: ServiceId, hostFraction: Double): Double {
        val hosts = hostCount()
        if (hosts <= MAX_HOSTS_LIMITED_BY_ENGINES) return Double.MAX_VALUE
        val fleet = work.fleetWork(nowMillis, service)
        val limit = fleetTokens(nowMillis, service, fleet)
        val unused = (limit - fleet.pendingTokens).coerceAtLeast(0.0)
        return limit * hostFraction + unused * settings.unusedParts / hosts
    }

    private fun fleetTokens(nowMillis: Long, service: ServiceId, fleet: EngineWork): Double = maxOf(
        tokensPerSecond(nowMillis, fleet) * settings.targetWaitMillis / MILLIS_PER_SECOND,
        settings.minTokensPerEngine * engineCount(service),
    )

    /** Returns what the engines of a service can begin, which is the part of the capacity that they begin at present. */
    private fun tokensPerSecond(nowMillis: Long, fleet: EngineWork): Double {
        val ofAll = capacity(nowMillis) ?: return fleet.begunTokensPerSecond
        val begunByAll = work.fleetWork(nowMillis).begunTokensPerSecond
        return if (begunByAll > 0) ofAll * fleet.begunTokensPerSecond / begunByAll else ofAll
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * Constants of [EngineWindow].
 *
 * @property targetWaitMillis time that work may wait in the engines, in milliseconds: two thirds of a latency objective of
 * 600 ms, as a third of it may pass in a host's queue.
 * @property minTokensPerEngine work that may be pending at an engine in any case, in tokens: what keeps it busy, some requests
 * of usual size.
 * @property unusedParts how many even parts of the unused limit a host may use.
 */
public data class EngineWindowSettings(
    public val targetWaitMillis: Double = 400.0,
    public val minTokensPerEngine: Double = 6_000.0,
    public val unusedParts: Double = 4.0,
)
