package buckthornbay.testkit.platform

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Performance model of an [PlatformEngineServer].
 *
 * @property slots number of requests that run concurrently; others are queued.
 * @property tokensPerMilli prefill throughput of the engine, in prompt tokens per millisecond, shared by all requests.
 * @property chunkTokens size of a prefill chunk, in tokens; concurrent prompts are prefilled a chunk at a time in turn.
 * @property cacheTokens capacity of the prefix cache, in tokens; the least recently used parts are evicted.
 * @property copyTokensPerMilli throughput of cache copies from other engines, in tokens per millisecond.
 * @property events number of events in each response.
 * @property eventMillis interval between two events, in milliseconds.
 * @property reportLagMillis age of the load report in response headers, in milliseconds.
 */
public data class EngineBehavior(
    public val slots: Int = 8,
    public val tokensPerMilli: Double = 80.0,
    public val chunkTokens: Int = 2_048,
    public val cacheTokens: Int = 20_000,
    public val copyTokensPerMilli: Double = 600.0,
    public val events: Int = 3,
    public val eventMillis: Long = 5,
    public val reportLagMillis: Long = 100,
)

/** Faults injected into an [PlatformEngineServer]; they can be switched at any time. */
public class PlatformEngineFaults {
    /** Resets the connection of each stream after its first event. */
    @Volatile
    public var breaksStreams: Boolean = false

    /** Rejects every request and states that it was not run. */
    @Volatile
    public var rejects: Boolean = false

    /** Accepts requests but never responds. */
    @Volatile
    public var silent: Boolean = false

    /** Requests per second that the engine's responses state as its limit; null for none. */
    @Volatile
    public var statedLimit: Double? = null

    /** Slowdown of prefill and of event intervals; 1.0 is normal speed. */
    @Volatile
    public var slowdown: Double = 1.0
}

/** A prompt part that crashes each engine of an [EngineFleet] that begins to answer a request with it. */
public class CrashingPart(public val id: String) {
    private val arrivals = CopyOnWriteArrayList<Long>()
    private val crashes = CopyOnWriteArrayList<Long>()

    /** Times at which requests with the part reached an engine, as values of [System.nanoTime]. */
    public val arrivalsNanos: List<Long> get() = arrivals

    /** Times at which engines crashed, as values of [System.nanoTime]. */
    public val crashesNanos: List<Long> get() = crashes

    internal fun arrived() {
        arrivals += System.nanoTime()
    }

    internal fun crashed() {
        crashes += System.nanoTime()
    }
}

/**
 * The engines of a test, which can copy cached prompt parts from each other by address.
 *
 * @param crashingPart part that crashes engines; null if there is none.
 * @param onCrash called with the address of a crashed engine.
 */
public class EngineFleet(internal val crashingPart: CrashingPart? = null, internal val onCrash: (address: String) -> Unit = {}) :
    AutoCloseable {
    private val engines = LinkedHashMap<String, PlatformEngineServer>()

    /** Starts an engine. */
    public fun start(behavior: EngineBehavior = EngineBehavior()): PlatformEngineServer =
        PlatformEngineServer(behavior, this).also { engine -> synchronized(engines) { engines[engine.address] = engine } }

    internal fun at(address: String): PlatformEngineServer? = synchronized(engines) { engines[address] }

    override fun close() {
        synchronized(engines) { engines.values.toList() }.forEach { it.close() }
    }
}

/**
 * A stand-in for a model engine of the platform, on loopback and in real time.
 *
 * It prefills prompts in chunks, keeps shared prompt parts in an LRU prefix cache, copies them from another engine on request,
 * streams events and reports its load with a lag.
 *
 * ```kotlin
 * EngineFleet().use { fleet -> store.put("servers", "engine-1", buildRegistration("models", fleet.start().address)) }
 * ```
 */
public class PlatformEngineServer internal constructor(private val behavior: EngineBehavior, private val fleet: EngineFleet) :
    AutoCloseable {
    private class Report(val atNanos: Long, val running: Int, val waiting: Int)

    private val cache = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private val slots = Semaphore(behavior.slots, true)
    private val prefillLock = ReentrantLock(true)
    private val reports = ArrayDeque<Report>()
    private val prefilledCount = AtomicLong()
    private val copiedCount = AtomicLong()
    private val waiting = AtomicInteger()
    private val crashed = AtomicBoolean()
    private val upstream = ScriptedUpstream(::serve)

    /** Faults to inject; all are off initially. */
    public val faults: PlatformEngineFaults = PlatformEngineFaults()

    /** The listen address, as `IP:PORT`. */
    public val address: String get() = upstream.address

    /** The requests received so far, oldest first. */
    public val requests: List<ScriptedRequest> get() = upstream.requests

    /** Number of prompt tokens that the engine prefilled; excludes tokens found in the cache or copied. */
    public val prefilledTokens: Long get() = prefilledCount.get()

    /** Number of prompt tokens copied from the caches of other engines. */
    public val copiedTokens: Long get() = copiedCount.get()

    override fun close() {
        upstream.close()
    }

    private fun serve(exchange: ScriptedExchange) {
        if (faults.rejects) return exchange.reject()
        if (faults.silent) return
        val crashingPart = fleet.crashingPart?.takeIf { part -> sharedParts(exchange.request).any { it.first == part.id } }
        crashingPart?.arrived()
        waiting.incrementAndGet()
        slots.acquire()
        waiting.decrementAndGet()
        try {
            recordLoad()
            processPrompt(exchange.request)
            if (crashingPart != null) return crash(crashingPart)
            stream(exchange)
        } finally {
            slots.release()
            recordLoad()
        }
    }

    private fun crash(part: CrashingPart) {
        if (!crashed.compareAndSet(false, true)) return
        part.crashed()
        close()
        fleet.onCrash(address)
    }

    private fun processPrompt(request: ScriptedRequest) {
        val parts = sharedParts(request)
        val promptTokens = request.header("X-Buckthornbay-Token-Count")?.substringBefore(',')?.toInt() ?: 0
        request.header("Kv-Fetch")?.let { source -> copy(parts, source) }
        val cachedTokens = cachedPrefixTokens(parts)
        prefill((promptTokens - cachedTokens).coerceAtLeast(0))
        store(parts)
    }

    /** Returns the parts of the prompt without the last one, which is specific to the request and never reused. */
    private fun sharedParts(request: ScriptedRequest): List<Pair<String, Int>> =
        request.header("X-Buckthornbay-Prefix-Hash").orEmpty().split(',').filter { ':' in it }
            .map { it.substringBefore(':').trim() to it.substringAfter(':').trim().toInt() }
            .dropLast(1)

    private fun copy(parts: List<Pair<String, Int>>, source: String) {
        val other = fleet.at(source) ?: return
        val missing = (other.cachedPrefixTokens(parts) - cachedPrefixTokens(parts)).coerceAtLeast(0)
        if (missing == 0) return
        Thread.sleep((missing / behavior.copyTokensPerMilli).toLong())
        copiedCount.addAndGet(missing.toLong())
        store(parts.take(other.cachedPartCount(parts)))
    }

    private fun cachedPartCount(parts: List<Pair<String, Int>>): Int =
        synchronized(cache) { parts.takeWhile { it.first in cache }.size }

    private fun cachedPrefixTokens(parts: List<Pair<String, Int>>): Int = parts.take(cachedPartCount(parts)).sumOf { it.second }

    private fun store(parts: List<Pair<String, Int>>) = synchronized(cache) {
        parts.forEach { (id, tokens) -> cache[id] = tokens }
        val eldest = cache.entries.iterator()
        while (cache.values.sum() > behavior.cacheTokens && eldest.hasNext()) {
            eldest.next()
            eldest.remove()
        }
    }

    private fun prefill(tokens: Int) {
        var remaining = tokens
        while (remaining > 0) {
            val chunk = minOf(remaining, behavior.chunkTokens)
            prefillLock.withLock { Thread.sleep((chunk / behavior.tokensPerMilli * faults.slowdown).toLong()) }
            prefilledCount.addAndGet(chunk.toLong())
            remaining -= chunk
        }
    }

    private fun stream(exchange: ScriptedExchange) {
        val first = (exchange.request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        exchange.write("HTTP/1.1 200 OK\r\n${exchange.requiredHeaders()}X-Buckthornbay-Server-Load: ${loadReport()}\r\n")
        faults.statedLimit?.let { exchange.write("Server-Limit: $it\r\n") }
        exchange.write("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for (event in first..behavior.events) {
            val text = "id: $event\ndata: $event\n\n"
            exchange.write("${text.length.toString(HEXADECIMAL)}\r\n$text\r\n")
            if (faults.breaksStreams) return exchange.reset()
            Thread.sleep((behavior.eventMillis * faults.slowdown).toLong())
        }
        exchange.write("0\r\n\r\n")
    }

    private fun recordLoad() = synchronized(reports) {
        reports.addLast(Report(System.nanoTime(), behavior.slots - slots.availablePermits(), waiting.get()))
        if (reports.size > MAX_REPORTS) reports.removeFirst()
    }

    private fun loadReport(): String {
        val untilNanos = System.nanoTime() - behavior.reportLagMillis * NANOS_PER_MILLI
        val report = synchronized(reports) { reports.lastOrNull { it.atNanos <= untilNanos } }
        val slowdownPercent = (faults.slowdown * PERCENT).toInt()
        return "${report?.running ?: 0},${report?.waiting ?: 0},${behavior.slots},$slowdownPercent"
    }

    private companion object {
        const val INITIAL_PARTS = 16
        const val LOAD_FACTOR = 0.75f
        const val MAX_REPORTS = 256
        const val NANOS_PER_MILLI = 1_000_000L
        const val HEXADECIMAL = 16
        const val PERCENT = 100
    }
}
