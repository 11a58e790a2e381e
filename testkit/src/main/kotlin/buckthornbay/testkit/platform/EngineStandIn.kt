package buckthornbay.testkit.platform

import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * How an [EngineStandIn] behaves.
 *
 * @property slots requests that run at once; more wait.
 * @property tokensPerMilli prompt tokens read in a millisecond, by all requests together.
 * @property chunkTokens tokens that are read of one prompt before the next one has its turn.
 * @property cacheTokens tokens of shared parts that are kept; the least recently used yield.
 * @property copyTokensPerMilli tokens copied from another engine in a millisecond.
 * @property events events of each answer.
 * @property eventMillis time between two events, in milliseconds.
 * @property reportLagMillis age of the load that answers tell, in milliseconds.
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

/** What an [EngineStandIn] does wrong, switchable at any moment. */
public class EngineFaults {
    /** Breaks each stream off after its first event. */
    @Volatile
    public var breaksStreams: Boolean = false

    /** Rejects every request as one that did not run. */
    @Volatile
    public var rejects: Boolean = false

    /** Takes requests and answers nothing. */
    @Volatile
    public var silent: Boolean = false

    /** Times as long as usual that reading and events take. */
    @Volatile
    public var slowdown: Double = 1.0
}

/** The engines of one test; they copy from each other by address. */
public class EngineFleet : AutoCloseable {
    private val engines = LinkedHashMap<String, EngineStandIn>()

    /** Starts one engine. */
    public fun start(behavior: EngineBehavior = EngineBehavior()): EngineStandIn =
        EngineStandIn(behavior, this).also { engine -> synchronized(engines) { engines[engine.address] = engine } }

    internal fun at(address: String): EngineStandIn? = synchronized(engines) { engines[address] }

    override fun close() {
        synchronized(engines) { engines.values.toList() }.forEach { it.close() }
    }
}

/**
 * A model engine of the platform on loopback, in real time: it reads prompts in chunks by turns, keeps shared parts in a limited
 * memory, copies them from other engines when told to, streams events and tells its load late.
 *
 * ```kotlin
 * EngineFleet().use { fleet -> store.put("servers", "engine-1", buildRegistration("models", fleet.start().address)) }
 * ```
 */
public class EngineStandIn internal constructor(private val behavior: EngineBehavior, private val fleet: EngineFleet) :
    AutoCloseable {
    private class Report(val atNanos: Long, val running: Int, val waiting: Int)

    private val kept = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private val slots = Semaphore(behavior.slots, true)
    private val reading = ReentrantLock(true)
    private val reports = ArrayDeque<Report>()
    private val readCount = AtomicLong()
    private val copiedCount = AtomicLong()
    private val waiting = AtomicInteger()
    private val upstream = ScriptedUpstream(::serve)

    /** What the engine does wrong. */
    public val faults: EngineFaults = EngineFaults()

    /** Where the engine listens, as `IP:PORT`. */
    public val address: String get() = upstream.address

    /** The requests that arrived, oldest first. */
    public val requests: List<ScriptedRequest> get() = upstream.requests

    /** Prompt tokens that the engine has read itself. */
    public val prefilledTokens: Long get() = readCount.get()

    /** Prompt tokens that the engine has copied from others. */
    public val copiedTokens: Long get() = copiedCount.get()

    override fun close() {
        upstream.close()
    }

    private fun serve(exchange: ScriptedExchange) {
        if (faults.rejects) return exchange.reject()
        if (faults.silent) return
        waiting.incrementAndGet()
        slots.acquire()
        waiting.decrementAndGet()
        try {
            noteLoad()
            readPrompt(exchange.request)
            stream(exchange)
        } finally {
            slots.release()
            noteLoad()
        }
    }

    private fun readPrompt(request: ScriptedRequest) {
        val parts = partsOf(request)
        val promptTokens = request.header("X-Buckthornbay-Token-Count")?.substringBefore(',')?.toInt() ?: 0
        request.header("Kv-Fetch")?.let { source -> copy(parts, source) }
        val keptTokens = keptBeginning(parts)
        read((promptTokens - keptTokens).coerceAtLeast(0))
        keep(parts)
    }

    /** The last part is the request's own, so that no other request needs it. */
    private fun partsOf(request: ScriptedRequest): List<Pair<String, Int>> =
        request.header("X-Buckthornbay-Prefix-Hash").orEmpty().split(',').filter { ':' in it }
            .map { it.substringBefore(':').trim() to it.substringAfter(':').trim().toInt() }
            .dropLast(1)

    private fun copy(parts: List<Pair<String, Int>>, source: String) {
        val other = fleet.at(source) ?: return
        val missing = (other.keptBeginning(parts) - keptBeginning(parts)).coerceAtLeast(0)
        if (missing == 0) return
        Thread.sleep((missing / behavior.copyTokensPerMilli).toLong())
        copiedCount.addAndGet(missing.toLong())
        keep(parts.take(other.keptCount(parts)))
    }

    private fun keptCount(parts: List<Pair<String, Int>>): Int = synchronized(kept) { parts.takeWhile { it.first in kept }.size }

    private fun keptBeginning(parts: List<Pair<String, Int>>): Int = parts.take(keptCount(parts)).sumOf { it.second }

    private fun keep(parts: List<Pair<String, Int>>) = synchronized(kept) {
        parts.forEach { (id, tokens) -> kept[id] = tokens }
        val eldest = kept.entries.iterator()
        while (kept.values.sum() > behavior.cacheTokens && eldest.hasNext()) {
            eldest.next()
            eldest.remove()
        }
    }

    private fun read(tokens: Int) {
        var left = tokens
        while (left > 0) {
            val chunk = minOf(left, behavior.chunkTokens)
            reading.withLock { Thread.sleep((chunk / behavior.tokensPerMilli * faults.slowdown).toLong()) }
            readCount.addAndGet(chunk.toLong())
            left -= chunk
        }
    }

    private fun stream(exchange: ScriptedExchange) {
        val first = (exchange.request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        exchange.write("HTTP/1.1 200 OK\r\n${exchange.requiredHeaders()}X-Buckthornbay-Server-Load: ${loadReport()}\r\n")
        exchange.write("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for (event in first..behavior.events) {
            val text = "id: $event\ndata: $event\n\n"
            exchange.write("${text.length.toString(HEXADECIMAL)}\r\n$text\r\n")
            if (faults.breaksStreams) return exchange.reset()
            Thread.sleep((behavior.eventMillis * faults.slowdown).toLong())
        }
        exchange.write("0\r\n\r\n")
    }

    private fun noteLoad() = synchronized(reports) {
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
