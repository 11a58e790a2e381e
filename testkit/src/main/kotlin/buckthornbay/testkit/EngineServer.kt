package buckthornbay.testkit

import buckthornbay.protocol.WireJson
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Performance model of a [StandInEngine].
 *
 * @property slots maximum batch size; further requests are queued inside the engine.
 * @property prefillMillis duration of the prefill, in milliseconds.
 * @property tokenMillis interval between tokens while the batch is empty, in milliseconds.
 * @property fullBatchFactor slowdown of the token rate when all slots are busy.
 */
public data class EngineProfile(
    public val slots: Int = 16,
    public val prefillMillis: Long = 20,
    public val tokenMillis: Long = 5,
    public val fullBatchFactor: Double = 1.3,
)

/** Faults injected into a [StandInEngine]. */
public data class EngineFaults(
    /** Slowdown of prefill and token generation; 1.0 is normal speed. */
    public val slowFactor: Double = 1.0,
    /** Accepts requests but never completes them. */
    public val silent: Boolean = false,
    /** Fails each request after this many tokens; 0 for never. */
    public val breakAfterTokens: Int = 0,
    /** Rejects requests with status 429 without reading them. */
    public val rejects: Boolean = false,
)

/** A stand-in for a model engine with continuous batching and resumable streamed completions. */
public class StandInEngine(private val profile: EngineProfile = EngineProfile()) {
    /** The injected faults; may be replaced at any time. */
    @Volatile
    public var faults: EngineFaults = EngineFaults()

    /** Number of completions accepted, including resumed ones and those that are queued for a slot. */
    public val acceptedCount: AtomicLong = AtomicLong()

    /** Number of tokens generated. */
    public val tokenCount: AtomicLong = AtomicLong()

    private val batch = Semaphore(profile.slots)
    private val batchSize = AtomicInteger()
    private val streams = ConcurrentHashMap<String, Completion>()

    internal class Completion(val id: String, val request: CompletionRequest)

    internal suspend fun run(completion: Completion, fromToken: Int, onToken: suspend (Int) -> Unit) {
        acceptedCount.incrementAndGet()
        streams[completion.id] = completion
        batch.withPermit {
            batchSize.incrementAndGet()
            try {
                pause(profile.prefillMillis.toDouble())
                generate(completion, fromToken, onToken)
            } finally {
                batchSize.decrementAndGet()
            }
        }
        streams.remove(completion.id)
    }

    internal fun newCompletion(request: CompletionRequest) = Completion("cmpl-${nextId.incrementAndGet()}", request)

    internal fun completionById(id: String): Completion? = streams[id]

    private suspend fun generate(completion: Completion, fromToken: Int, onToken: suspend (Int) -> Unit) {
        for (token in fromToken until completion.request.maxTokens) {
            val batchSlowdown = 1 + (profile.fullBatchFactor - 1) * batchSize.get() / profile.slots
            pause(profile.tokenMillis * batchSlowdown)
            val breaksHere = faults.breakAfterTokens > 0 && token - fromToken >= faults.breakAfterTokens
            if (breaksHere) throw BrokenStreamException()
            tokenCount.incrementAndGet()
            onToken(token)
        }
    }

    private suspend fun pause(millis: Double) {
        delay((millis * faults.slowFactor).toLong())
        if (faults.silent) awaitCancellation()
    }

    private companion object {
        val nextId = AtomicLong()
    }
}

internal class BrokenStreamException : Exception("injected fault: stream broken by the stand-in engine")

/** Installs a completions API for [engine], with a route that resumes streams. */
public fun Application.engineRoutes(engine: StandInEngine) {
    routing {
        post("/v1/completions") { call.complete(engine) }
        post("/v1/chat/completions") { call.complete(engine) }
        get("/v1/streams/{id}") {
            val completion = engine.completionById(call.parameters["id"].orEmpty())
            val after = call.parameters["after"]?.toIntOrNull() ?: 0
            if (completion == null) call.respond(HttpStatusCode.NotFound) else call.stream(engine, completion, after)
        }
    }
}

private suspend fun ApplicationCall.complete(engine: StandInEngine) {
    if (engine.faults.rejects) {
        respond(HttpStatusCode.TooManyRequests)
        return
    }
    val request = WireJson.decodeFromString(CompletionRequest.serializer(), receiveText())
    val completion = engine.newCompletion(request)
    if (request.stream) {
        stream(engine, completion, fromToken = 0)
    } else {
        val text = StringBuilder()
        engine.run(completion, fromToken = 0) { text.append(wordOf(it)) }
        respondText(completionBody(completion, text.toString()), ContentType.Application.Json)
    }
}

private suspend fun ApplicationCall.stream(engine: StandInEngine, completion: StandInEngine.Completion, fromToken: Int) {
    response.header("Stream-Id", completion.id)
    response.header(HttpHeaders.CacheControl, "no-cache")
    respondBytesWriter(ContentType.Text.EventStream) {
        engine.run(completion, fromToken) { sendEvent(textChunk(completion, wordOf(it))) }
        sendEvent(usageChunk(completion))
        sendEvent("[DONE]")
    }
}

private suspend fun ByteWriteChannel.sendEvent(data: String) {
    writeStringUtf8("data: $data\n\n")
    flush()
}

private fun wordOf(token: Int) = "w$token "

private fun textChunk(completion: StandInEngine.Completion, text: String): String = WireJson.encodeToString(
    CompletionChunk.serializer(),
    CompletionChunk(completion.id, listOf(Choice(text, delta = Delta(text)))),
)

private fun usageChunk(completion: StandInEngine.Completion): String = WireJson.encodeToString(
    CompletionChunk.serializer(),
    CompletionChunk(completion.id, emptyList(), usageFor(completion)),
)

private fun completionBody(completion: StandInEngine.Completion, text: String): String = WireJson.encodeToString(
    CompletionChunk.serializer(),
    CompletionChunk(completion.id, listOf(Choice(text, message = Delta(text))), usageFor(completion)),
)

private fun usageFor(completion: StandInEngine.Completion) =
    Usage(promptTokens = completion.request.promptTokens(), completionTokens = completion.request.maxTokens)

/** The subset of a completion request that the stand-in supports; contains either [prompt] or [messages]. */
@Serializable
public data class CompletionRequest(
    public val model: String = "",
    public val prompt: String = "",
    public val messages: List<ChatMessage> = emptyList(),
    @SerialName("max_tokens") public val maxTokens: Int = 16,
    public val stream: Boolean = false,
) {
    internal fun promptTokens(): Int = (prompt.length + messages.sumOf { it.content.length }) / CHARACTERS_PER_TOKEN
}

private const val CHARACTERS_PER_TOKEN = 4

/** A message of a chat completion request. */
@Serializable
public data class ChatMessage(public val role: String = "user", public val content: String = "")

@Serializable
internal data class CompletionChunk(val id: String, val choices: List<Choice>, val usage: Usage? = null)

@Serializable
internal data class Choice(val text: String, val delta: Delta? = null, val message: Delta? = null)

@Serializable
internal data class Delta(val content: String)

@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
)
