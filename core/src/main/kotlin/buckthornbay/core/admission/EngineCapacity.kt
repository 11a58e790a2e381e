package buckthornbay.core.admission

/**
 * The throughput of all engines together, estimated from what begins and how long it waits.
 *
 * Load: engines that begin more or less than the operator states, because prompts are cached, engines differ in speed, are slow
 * for a while or have crashed. A division of the stated throughput leaves the difference to chance, or lets work queue in the
 * engines.
 *
 * Engines that are kept busy begin what they can, and work waits there for [EngineCapacitySettings.targetWaitMillis]. If it waits
 * longer they are asked for too much; if it waits less, they could begin more. The estimate needs no memory, so that all hosts,
 * which know the same reports, agree on it.
 *
 * In a small fleet the stated throughput is divided: each host has enough responses of each engine to find by itself what is
 * beyond it, and work that waits in the engines is not limited.
 *
 * @param work the work that all hosts have sent to the engines.
 * @param hostCount returns the number of live hosts of the fleet.
 */
public class EngineCapacity(
    private val work: EngineWorkAccounts,
    private val hostCount: () -> Int,
    private val settings: EngineCapacitySettings = EngineCapacitySettings(),
) {
    /**
     * Returns the throughput that can be divided at present, in tokens per second.
     *
     * It is at least the [stated] throughput while little work waits, as engines that are asked for little begin little. That
     * is so too while the load rises, when what is pending is known before what begins.
     */
    public fun tokensPerSecond(nowMillis: Long, stated: Double): Double {
        if (hostCount() <= MAX_HOSTS_LIMITED_BY_ENGINES) return stated
        val fleet = work.fleetWork(nowMillis)
        val waitMillis = fleet.waitMillis ?: return stated
        val correction = if (waitMillis > 0) settings.targetWaitMillis / waitMillis else settings.maxCorrection
        val estimate = fleet.begunTokensPerSecond * correction.coerceIn(settings.minCorrection, settings.maxCorrection)
        val isLittle = fleet.pendingTokens < stated * settings.littlePendingMillis / MILLIS_PER_SECOND
        return if (isLittle || waitMillis < settings.targetWaitMillis) maxOf(estimate, stated) else estimate
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * Constants of [EngineCapacity].
 *
 * @property targetWaitMillis time from the send to the beginning of a response in engines that are kept busy, in milliseconds,
 * weighted by tokens: the prefill of a large prompt and of one before it.
 * @property littlePendingMillis pending work that says nothing about the engines, in milliseconds of the stated throughput: what
 * an idle engine needs for a usual prompt.
 * @property minCorrection lower bound of the factor between what begins and the estimate; reports are a second old, and a
 * stronger reaction would swing.
 * @property maxCorrection upper bound of that factor; a prompt in an idle engine waits a third of the target or less.
 */
public data class EngineCapacitySettings(
    public val targetWaitMillis: Double = 500.0,
    public val littlePendingMillis: Double = 200.0,
    public val minCorrection: Double = 0.7,
    public val maxCorrection: Double = 3.0,
)
