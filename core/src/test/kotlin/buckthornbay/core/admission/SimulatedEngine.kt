package buckthornbay.core.admission

import buckthornbay.core.load.LoadReport
import buckthornbay.core.load.TokenDemand
import org.apache.commons.rng.simple.RandomSource

/**
 * Properties of the engines of a [SimulatedFleet].
 *
 * @property slots requests that an engine executes at once.
 * @property stepMillis time of one decoding step without prefill, in milliseconds.
 * @property prefillTokensPerMilli prefill throughput, in tokens per millisecond.
 * @property stepMillisPerSlot additional time of a step for each request that is executed, in milliseconds.
 * @property firstTokenMillis time from the end of prefill to the first token, in milliseconds.
 * @property unevenness differences in speed among the engines; null if all have the same speed.
 */
class EngineShape(
    val count: Int,
    val slots: Int,
    val stepMillis: Double,
    val prefillTokensPerMilli: Double,
    val stepMillisPerSlot: Double = 0.0,
    val firstTokenMillis: Double = 0.0,
    val unevenness: Unevenness? = null,
)

/**
 * Differences in speed among engines.
 *
 * @property speeds speeds of the engines, which take turns.
 * @property slowShare share of the time in which other work on an engine's machine slows it.
 * @property slowFactor how many times as long work takes then.
 * @property periodMillis length of such a time, in milliseconds.
 */
class Unevenness(val speeds: List<Double>, val slowShare: Double, val slowFactor: Double, val periodMillis: Long)

/** The speeds of [engines] engines with an [unevenness] over time, which follow from [seed]. */
class EngineSpeeds(private val unevenness: Unevenness, engines: Int, seed: Long) {
    private val random = RandomSource.SPLIT_MIX_64.create(seed)
    private val periods = List(engines) { List(MAX_PERIODS) { random.nextDouble() < unevenness.slowShare } }
    private val offsets = List(engines) { random.nextDouble() * unevenness.periodMillis }

    /** Returns how many times as long work takes at [engine] at [millis]. */
    fun slowdownAt(engine: Int, millis: Double): Double {
        val period = ((millis + offsets[engine]) / unevenness.periodMillis).toInt()
        val factor = if (periods[engine][period % MAX_PERIODS]) unevenness.slowFactor else 1.0
        return factor / unevenness.speeds[engine % unevenness.speeds.size]
    }

    private companion object {
        const val MAX_PERIODS = 100
    }
}

/** A request at a [SimulatedEngine]; the functions are called when it progresses. */
class EngineRun(
    val demand: TokenDemand,
    outputTokens: Int,
    val copied: Boolean,
    val onStart: (LoadReport) -> Unit,
    val onEvent: () -> Unit,
    val onEnd: () -> Unit,
    val onCrash: () -> Unit,
) {
    var prefillLeft = 0.0
    var outputLeft = outputTokens
}

/**
 * A model engine with chunked prefill, continuous batching and a prefix cache, which admits requests in order of arrival.
 *
 * @param slowdown returns how many times as long a step takes at present.
 */
class SimulatedEngine(
    private val shape: EngineShape,
    private val slowdown: () -> Double,
    private val schedule: (delayMillis: Double, () -> Unit) -> Unit,
) {
    private val waiting = ArrayDeque<EngineRun>()
    private val running = ArrayList<EngineRun>()
    private val cachedParts = object : LinkedHashMap<String, Int>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Int>) = values.sum() > CACHE_TOKENS
    }
    private var stepping = false

    /** Number of requests that wait for a slot. */
    val waitingCount: Int get() = waiting.size

    /** Number of slots without a request; none while the engine refuses connections. */
    val freeSlots: Int get() = if (isStopped) 0 else shape.slots - running.size

    /** Whether the engine refuses connections. */
    var isStopped = false
        private set

    /** Number of crashes; steps that were scheduled before the last one don't count. */
    private var crashes = 0

    /** Accepts [run], or returns false if the queue is full. */
    fun accept(run: EngineRun): Boolean {
        if (waiting.size >= MAX_WAITING) return false
        waiting += run
        if (!stepping) step()
        return true
    }

    /** Drops all requests and the cache. */
    fun crash() {
        crashes++
        val dropped = running + waiting
        running.clear()
        waiting.clear()
        cachedParts.clear()
        stepping = false
        dropped.forEach { it.onCrash() }
    }

    /** Drops all requests and the cache, and refuses connections until it is restarted. */
    fun stop() {
        isStopped = true
        crash()
    }

    /** Accepts requests again. */
    fun restart() {
        isStopped = false
    }

    private fun step() {
        while (running.size < shape.slots && waiting.isNotEmpty()) running += waiting.removeFirst().also(::admit)
        stepping = running.isNotEmpty()
        if (!stepping) return
        var chunkLeft = CHUNK_TOKENS
        val prefilled = ArrayList<EngineRun>()
        val decoding = running.filter { it.prefillLeft <= 0 }
        for (run in running) {
            val tokens = minOf(run.prefillLeft, chunkLeft)
            if (tokens <= 0) continue
            run.prefillLeft -= tokens
            chunkLeft -= tokens
            if (run.prefillLeft <= 0) prefilled += run
        }
        val prefillMillis = (CHUNK_TOKENS - chunkLeft) / shape.prefillTokensPerMilli
        val stepMillis = (shape.stepMillis + shape.stepMillisPerSlot * running.size + prefillMillis) * slowdown()
        val crashesBefore = crashes
        schedule(stepMillis) {
            if (crashes != crashesBefore) return@schedule
            decoding.forEach(::decode)
            val report = LoadReport(running.size, waiting.size, shape.slots, slowdown())
            for (run in prefilled) schedule(shape.firstTokenMillis) { run.onStart(report) }
            step()
        }
    }

    private fun admit(run: EngineRun) {
        val cachedTokens = run.demand.parts.takeWhile { it.id in cachedParts }.sumOf { it.tokens }
        val missingShared = (run.demand.sharedTokens - cachedTokens).coerceAtLeast(0)
        val savedTokens = if (run.copied) missingShared * (1.0 - COPY_COST) else 0.0
        run.prefillLeft = (run.demand.promptTokens - cachedTokens - savedTokens).coerceAtLeast(1.0)
        run.demand.parts.forEach { cachedParts[it.id] = it.tokens }
    }

    private fun decode(run: EngineRun) {
        run.outputLeft--
        if (run.outputLeft % TOKENS_PER_EVENT == 0) run.onEvent()
        if (run.outputLeft > 0) return
        running -= run
        run.onEnd()
    }

    private companion object {
        const val MAX_WAITING = 25
        const val CHUNK_TOKENS = 2_048.0
        const val CACHE_TOKENS = 400_000
        const val TOKENS_PER_EVENT = 10

        /** Time to copy a cached token from another engine, relative to its prefill. */
        const val COPY_COST = 0.15
    }
}
