package buckthornbay.operator

import buckthornbay.protocol.AddressList
import buckthornbay.protocol.WireJson
import io.ktor.client.HttpClient
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.http.isSuccess
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.distribution.ZigguratSampler
import org.apache.commons.rng.simple.RandomSource
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger

/** Sends a scenario's requests to a fleet, each at its due time whether or not earlier ones have ended. */
internal class LoadRunner(
    private val client: HttpClient,
    private val seedUrls: List<String>,
    private val scenario: LoadScenario,
) {
    val tallies: List<FlowTally> = scenario.flows.map { FlowTally(it) }
    private val left = AtomicInteger(scenario.maxRequests)
    private val addresses = AddressBook(client, seedUrls)
    private val inProgress = Semaphore(scenario.maxInProgress)

    /** Sends everything and returns when the last request has ended. */
    suspend fun run(onProgress: (elapsedSeconds: Int) -> Unit = {}) {
        withContext(Dispatchers.Default) {
            val startNanos = System.nanoTime()
            tallies.forEachIndexed { index, tally -> launch { arrivals(this@withContext, tally, index, startNanos) } }
            launch {
                for (second in 1..scenario.durationSeconds) {
                    delay(MILLIS_PER_SECOND)
                    onProgress(second)
                }
            }
        }
    }

    private suspend fun arrivals(scope: CoroutineScope, tally: FlowTally, index: Int, startNanos: Long) {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed + index)
        val exponential = ZigguratSampler.Exponential.of(random)
        var dueNanos = startNanos
        while (true) {
            val second = (dueNanos - startNanos) / NANOS_PER_SECOND
            dueNanos += (exponential.sample() / rateAt(tally.flow, second) * NANOS_PER_SECOND).toLong()
            if (dueNanos - startNanos >= scenario.durationSeconds * NANOS_PER_SECOND) return
            if (left.getAndDecrement() <= 0) return
            val waitMillis = (dueNanos - System.nanoTime()) / NANOS_PER_MILLI
            if (waitMillis > 0) delay(waitMillis)
            val due = dueNanos
            val request = draw(tally.flow, random)
            val warmingUp = second < scenario.warmUpSeconds
            inProgress.acquire()
            scope.launch {
                send(if (warmingUp) FlowTally(tally.flow) else tally, request, due)
                inProgress.release()
            }
        }
    }

    private fun rateAt(flow: LoadFlow, second: Long): Double {
        val atCrest = second >= flow.crestFromSecond && second < flow.crestFromSecond + flow.crestSeconds
        return if (atCrest) flow.ratePerSecond * flow.crestFactor else flow.ratePerSecond
    }

    private class Draw(val tokens: Int, val addressNumber: Int)

    private fun draw(flow: LoadFlow, random: UniformRandomProvider): Draw {
        val tokens = flow.minTokens + random.nextInt(flow.maxTokens - flow.minTokens + 1)
        val pinned = random.nextDouble() < flow.pinnedPart
        return Draw(tokens, if (pinned) 0 else random.nextInt(Int.MAX_VALUE))
    }

    private suspend fun send(tally: FlowTally, draw: Draw, dueNanos: Long) {
        val flow = tally.flow
        tally.sent.incrementAndGet()
        try {
            val address = addresses.pick(draw.addressNumber)
            client.prepareRequest {
                method = if (flow.model != null) HttpMethod.Post else HttpMethod(flow.method)
                url(address + flow.path)
                bearerAuth(flow.key)
                flow.latencyClass?.let { header("Buckthornbay-Class", it) }
                if (flow.unrepeatable) header("Idempotency-Key", UUID.randomUUID().toString())
                if (flow.model != null) {
                    setBody("""{"model":"${flow.model}","prompt":"a short question","max_tokens":${draw.tokens},"stream":true}""")
                }
            }.execute { response -> take(tally, response, dueNanos) }
        } catch (_: IOException) {
            tally.failed.incrementAndGet()
        }
    }

    private suspend fun take(tally: FlowTally, response: HttpResponse, dueNanos: Long) {
        if (!response.status.isSuccess()) {
            when (response.headers["Buckthornbay-End"]) {
                "not_run" -> tally.notRun.incrementAndGet()
                "unknown" -> tally.unknown.incrementAndGet()
                else -> tally.failed.incrementAndGet()
            }
            return
        }
        val whole = if (tally.flow.model == null) {
            response.bodyAsText()
            tally.firstByte(microsSince(dueNanos))
            true
        } else {
            readEvents(tally, response.bodyAsChannel(), dueNanos)
        }
        if (whole) {
            tally.answered.incrementAndGet()
            tally.whole(microsSince(dueNanos))
        } else {
            tally.failed.incrementAndGet()
        }
    }

    private suspend fun readEvents(tally: FlowTally, body: ByteReadChannel, dueNanos: Long): Boolean {
        var first = true
        while (true) {
            val line = body.readLine() ?: return false
            if (line == "data: [DONE]") return true
            if (line.startsWith("event: error")) return false
            if (!line.startsWith("data:")) continue
            if (first) tally.firstByte(microsSince(dueNanos))
            first = false
            tally.tokens.incrementAndGet()
        }
    }

    private fun microsSince(dueNanos: Long): Long = (System.nanoTime() - dueNanos) / NANOS_PER_MICRO

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_MICRO = 1_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}

/** The addresses that the fleet named, asked again when their time to live is over; those given where it names none. */
internal class AddressBook(private val client: HttpClient, private val seedUrls: List<String>) {
    @Volatile
    private var known: List<String> = emptyList()

    @Volatile
    private var expiresAtNanos = System.nanoTime()
    private val refreshing = Mutex()

    /** Returns one of the addresses; number 0 is always the first. */
    suspend fun pick(number: Int): String {
        if (isStale()) refreshing.withLock { if (isStale()) refresh() }
        val urls = known.ifEmpty { seedUrls }
        return urls[number % urls.size]
    }

    private fun isStale() = System.nanoTime() - expiresAtNanos >= 0

    private suspend fun refresh() {
        expiresAtNanos = System.nanoTime() + RETRY_NANOS
        val lists = seedUrls.mapNotNull { ask(it) }
        known = lists.flatMap { list -> list.hosts.map { it.url } }.distinct()
        lists.firstOrNull()?.let { expiresAtNanos = System.nanoTime() + it.ttlMillis * NANOS_PER_MILLI }
    }

    private suspend fun ask(url: String): AddressList? = try {
        WireJson.decodeFromString(AddressList.serializer(), client.get("$url/v1/addresses").bodyAsText())
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        const val RETRY_NANOS = 1_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
