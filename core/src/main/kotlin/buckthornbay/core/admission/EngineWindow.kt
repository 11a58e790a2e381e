package buckthornbay.core.admission

import buckthornbay.protocol.ServiceId

/**
 * The limit on the work that waits in the engines, and the throughput that they have at present.
 *
 * Load: engines that begin less work than the fleet assumes, because they are slow, have crashed or have long queues, and
 * workspaces that ask for more than all engines begin. Engines serve in order of arrival and know no workspaces, so whatever
 * waits there can't be ordered any more. All hosts together therefore have as much work pending as begins in
 * [EngineWindowSettings.targetWaitMillis]; the rest waits at the hosts. This needs no knowledge of the engines' speed: each
 * response that begins makes room for the next request, and slower engines begin fewer.
 *
 * @param work the work that all hosts have sent to the engines.
 * @param engineCount returns the number of engines of a service that may be used.
 */
public class EngineWindow(
    private val work: EngineWorkAccounts,
    private val settings: EngineWindowSettings = EngineWindowSettings(),
    private val engineCount: (ServiceId) -> Int,
) {
    /**
     * Returns the work that this host may have pending at the engines of [service], in tokens.
     *
     * It is the host's part of the whole limit, and some of what the other hosts leave unused, because hosts have their peaks at
     * different times.
     *
     * @param hostFraction part of the engines that this host may use, from 0 to 1.
     * @param hostCount live hosts of the fleet.
     */
    public fun hostTokens(nowMillis: Long, service: ServiceId, hostFraction: Double, hostCount: Int): Double {
        val fleet = work.fleetWork(nowMillis, service)
        val limit = fleetTokens(service, fleet)
        val unused = (limit - fleet.pendingTokens).coerceAtLeast(0.0)
        return limit * hostFraction + unused * settings.unusedParts / hostCount.coerceAtLeast(1)
    }

    /**
     * Returns the throughput of all engines, in tokens per second: [statedTokensPerSecond] while they have room, and what they
     * begin while they are full. The fuller they are, the less than that, so that what waits in them becomes less.
     */
    public fun presentTokensPerSecond(nowMillis: Long, statedTokensPerSecond: Double): Double {
        val fleet = work.sumOf(nowMillis, withOwn = true) { true }
        val limit = fleet.entries.sumOf { (service, it) -> fleetTokens(service, it) }
        if (limit <= 0.0) return statedTokensPerSecond
        val fill = fleet.values.sumOf { it.pendingTokens } / limit
        val weight = ((fill - settings.roomyFill) / (settings.fullFill - settings.roomyFill)).coerceIn(0.0, 1.0)
        val drain = if (fill <= settings.fullFill) 1.0 else (settings.fullFill / fill).coerceAtLeast(settings.minDrain)
        val begun = fleet.values.sumOf { it.begunTokensPerSecond } * drain
        return statedTokensPerSecond + weight * (begun - statedTokensPerSecond)
    }

    private fun fleetTokens(service: ServiceId, fleet: EngineWork): Double = maxOf(
        fleet.begunTokensPerSecond * settings.targetWaitMillis / MILLIS_PER_SECOND,
        settings.minTokensPerEngine * engineCount(service),
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * Constants of [EngineWindow].
 *
 * @property targetWaitMillis time that work may wait in the engines, in milliseconds: half of a latency objective of
 * 600 ms, as a third of it may pass in a host's queue.
 * @property minTokensPerEngine work that may be pending at an engine in any case, in tokens: what keeps it busy, some requests
 * of usual size.
 * @property unusedParts how many even parts of the unused limit a host may use.
 * @property roomyFill pending work, relative to the limit, up to which the stated throughput holds.
 * @property fullFill pending work, relative to the limit, from which the throughput is what engines begin.
 * @property minDrain least part of what engines begin that is assumed as throughput, however much is pending.
 */
public data class EngineWindowSettings(
    public val targetWaitMillis: Double = 300.0,
    public val minTokensPerEngine: Double = 6_000.0,
    public val unusedParts: Double = 4.0,
    public val roomyFill: Double = 0.5,
    public val fullFill: Double = 0.9,
    public val minDrain: Double = 0.5,
)
