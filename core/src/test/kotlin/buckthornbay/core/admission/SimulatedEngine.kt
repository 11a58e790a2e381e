package buckthornbay.core.admission

import buckthornbay.core.load.LoadReport
import buckthornbay.core.load.TokenDemand

/**
 * Properties of the engines of a [SimulatedFleet].
 *
 * @property slots requests that an engine executes at once.
 * @property stepMillis time of one decoding step without prefill, in milliseconds.
 * @property prefillTokensPerMilli prefill throughput, in tokens per millisecond.
 */
class EngineShape(val count: Int, val slots: Int, val stepMillis: Double, val prefillTokensPerMilli: Double)

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
        val stepMillis = (shape.stepMillis + (CHUNK_TOKENS - chunkLeft) / shape.prefillTokensPerMilli) * slowdown()
        val crashesBefore = crashes
        schedule(stepMillis) {
            if (crashes != crashesBefore) return@schedule
            decoding.forEach(::decode)
            prefilled.forEach { it.onStart(LoadReport(running.size, waiting.size, shape.slots, slowdown())) }
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
