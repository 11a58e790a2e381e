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

/** An open-loop load generator: sends each request of a scenario at its scheduled time, independent of earlier requests. */
internal class LoadRunner(
    private val client: HttpClient,
    private val seedUrls: List<String>,
    private val scenario: LoadScenario,
) {
    val tallies: List<FlowTally> = scenario.flows.map { FlowTally(it) }
    private val remainingRequests = AtomicInteger(scenario.maxRequests)
    private val addresses = RouterAddressCache(client, seedUrls)
    private val inProgress = Semaphore(scenario.maxInProgress)

    /** Sends all requests and returns when the last one has ended; calls [onProgress] once per second. */
    suspend fun run(onProgress: (elapsedSeconds: Int) -> Unit = {}) {
        withContext(Dispatchers.Default) {
            val startNanos = System.nanoTime()
            tallies.forEachIndexed { index, tally -> launch { generateArrivals(this@withContext, tally, index, startNanos) } }
            launch {
                for (second in 1..scenario.durationSeconds) {
                    delay(MILLIS_PER_SECOND)
                    onProgress(second)
                }
            }
        }
    }

    private suspend fun generateArrivals(scope: CoroutineScope, tally: FlowTally, index: Int, startNanos: Long) {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed + index)
        val exponential = ZigguratSampler.Exponential.of(random)
        var arrivalNanos = startNanos
        while (true) {
            val second = (arrivalNanos - startNanos) / NANOS_PER_SECOND
            arrivalNanos += (exponential.sample() / rateAt(tally.flow, second) * NANOS_PER_SECOND).toLong()
            if (arrivalNanos - startNanos >= scenario.durationSeconds * NANOS_PER_SECOND) return
            if (remainingRequests.getAndDecrement() <= 0) return
            val waitMillis = (arrivalNanos - System.nanoTime()) / NANOS_PER_MILLI
            if (waitMillis > 0) delay(waitMillis)
            val scheduledNanos = arrivalNanos
            val request = sampleRequest(tally.flow, random)
            val warmingUp = second < scenario.warmUpSeconds
            inProgress.acquire()
            scope.launch {
                send(if (warmingUp) FlowTally(tally.flow) else tally, request, scheduledNanos)
                inProgress.release()
            }
        }
    }

    private fun rateAt(flow: LoadFlow, second: Long): Double {
        val atPeak = second >= flow.peakFromSecond && second < flow.peakFromSecond + flow.peakSeconds
        return if (atPeak) flow.ratePerSecond * flow.peakFactor else flow.ratePerSecond
    }

    private class SampledRequest(val tokens: Int, val addressIndex: Int)

    private fun sampleRequest(flow: LoadFlow, random: UniformRandomProvider): SampledRequest {
        val tokens = flow.minTokens + random.nextInt(flow.maxTokens - flow.minTokens + 1)
        val pinned = random.nextDouble() < flow.pinnedFraction
        return SampledRequest(tokens, if (pinned) 0 else random.nextInt(Int.MAX_VALUE))
    }

    private suspend fun send(tally: FlowTally, request: SampledRequest, scheduledNanos: Long) {
        val flow = tally.flow
        tally.sent.incrementAndGet()
        try {
            val address = addresses.addressAt(request.addressIndex)
            client.prepareRequest {
                method = if (flow.model != null) HttpMethod.Post else HttpMethod(flow.method)
                url(address + flow.path)
                bearerAuth(flow.workspaceKey)
                flow.latencyClass?.let { header("Buckthornbay-Class", it) }
                if (flow.nonIdempotent) header("Idempotency-Key", UUID.randomUUID().toString())
                if (flow.model != null) {
                    setBody(
                        """{"model":"${flow.model}","prompt":"a short question","max_tokens":${request.tokens},"stream":true}""",
                    )
                }
            }.execute { response -> recordResponse(tally, response, scheduledNanos) }
        } catch (_: IOException) {
            tally.failed.incrementAndGet()
        }
    }

    private suspend fun recordResponse(tally: FlowTally, response: HttpResponse, scheduledNanos: Long) {
        if (!response.status.isSuccess()) {
            when (response.headers["Buckthornbay-End"]) {
                "not_run" -> tally.notRun.incrementAndGet()
                "unknown" -> tally.unknown.incrementAndGet()
                else -> tally.failed.incrementAndGet()
            }
            return
        }
        val complete = if (tally.flow.model == null) {
            response.bodyAsText()
            tally.recordFirstByte(microsSince(scheduledNanos))
            true
        } else {
            readEvents(tally, response.bodyAsChannel(), scheduledNanos)
        }
        if (complete) {
            tally.answered.incrementAndGet()
            tally.recordCompletion(microsSince(scheduledNanos))
        } else {
            tally.failed.incrementAndGet()
        }
    }

    private suspend fun readEvents(tally: FlowTally, body: ByteReadChannel, scheduledNanos: Long): Boolean {
        var first = true
        while (true) {
            val line = body.readLine() ?: return false
            if (line == "data: [DONE]") return true
            if (line.startsWith("event: error")) return false
            if (!line.startsWith("data:")) continue
            if (first) tally.recordFirstByte(microsSince(scheduledNanos))
            first = false
            tally.tokens.incrementAndGet()
        }
    }

    private fun microsSince(scheduledNanos: Long): Long = (System.nanoTime() - scheduledNanos) / NANOS_PER_MICRO

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_MICRO = 1_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}

/** A cache of the router addresses announced by the fleet, refreshed when their TTL expires; falls back to [seedUrls]. */
internal class RouterAddressCache(private val client: HttpClient, private val seedUrls: List<String>) {
    @Volatile
    private var cachedUrls: List<String> = emptyList()

    @Volatile
    private var expiresAtNanos = System.nanoTime()
    private val refreshing = Mutex()

    /** Returns the address at [index] modulo the number of addresses; refreshes an expired list first. */
    suspend fun addressAt(index: Int): String {
        if (isStale()) refreshing.withLock { if (isStale()) refresh() }
        val urls = cachedUrls.ifEmpty { seedUrls }
        return urls[index % urls.size]
    }

    private fun isStale() = System.nanoTime() - expiresAtNanos >= 0

    private suspend fun refresh() {
        expiresAtNanos = System.nanoTime() + RETRY_INTERVAL_NANOS
        val lists = seedUrls.mapNotNull { fetchAddresses(it) }
        cachedUrls = lists.flatMap { list -> list.hosts.map { it.url } }.distinct()
        lists.firstOrNull()?.let { expiresAtNanos = System.nanoTime() + it.ttlMillis * NANOS_PER_MILLI }
    }

    private suspend fun fetchAddresses(url: String): AddressList? = try {
        WireJson.decodeFromString(AddressList.serializer(), client.get("$url/v1/addresses").bodyAsText())
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        const val RETRY_INTERVAL_NANOS = 1_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
