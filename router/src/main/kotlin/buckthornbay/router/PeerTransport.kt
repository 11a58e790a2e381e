package buckthornbay.router

import buckthornbay.protocol.HostId
import buckthornbay.protocol.PeerEnvelope
import buckthornbay.protocol.PeerMessage
import buckthornbay.protocol.VersionedState
import buckthornbay.protocol.WireJson
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Sends messages to peers, those that gather while one envelope is under way together in the next. */
internal class PeerTransport(
    private val settings: RouterSettings,
    private val incarnation: Long,
    private val client: HttpClient,
    private val scope: CoroutineScope,
    private val loop: NodeLoop,
    private val metrics: RouterMetrics,
) {
    private val outboxes = ConcurrentHashMap<String, Outbox>()
    private val sequence = AtomicLong()

    private class Outbox {
        val messages = ArrayList<PeerMessage>()
        var sending = false
        var host: HostId? = null
    }

    fun offer(url: String, host: HostId?, messages: List<PeerMessage>) {
        val outbox = outboxes.getOrPut(url) { Outbox() }
        synchronized(outbox) {
            outbox.messages += messages
            outbox.host = host ?: outbox.host
            if (outbox.sending) return
            outbox.sending = true
        }
        scope.launch { drain(url, outbox) }
    }

    fun envelope(messages: List<PeerMessage>) = PeerEnvelope(settings.host, incarnation, sequence.incrementAndGet(), messages)

    suspend fun fetchState(url: String): VersionedState? = try {
        val response = client.get("$url/internal/v1/state") {
            bearerAuth(settings.fleetKey)
            timeout { requestTimeoutMillis = FETCH_TIMEOUT_MILLIS }
        }
        if (response.status.isSuccess()) {
            WireJson.decodeFromString(VersionedState.serializer(), response.bodyAsText())
        } else {
            null
        }
    } catch (_: IOException) {
        null
    }

    private suspend fun drain(url: String, outbox: Outbox) {
        while (true) {
            val batch = synchronized(outbox) {
                if (outbox.messages.isEmpty()) outbox.sending = false
                outbox.messages.toList().also { outbox.messages.clear() }
            }
            if (batch.isEmpty()) return
            if (!send(url, batch)) outbox.host?.let { host -> loop.post { node, now -> node.unreachable(now, host) } }
        }
    }

    private suspend fun send(url: String, batch: List<PeerMessage>): Boolean {
        val body = WireJson.encodeToString(PeerEnvelope.serializer(), envelope(batch))
        countBytes(body.length)
        return try {
            val response = client.post("$url/internal/v1/messages") {
                bearerAuth(settings.fleetKey)
                contentType(ContentType.Application.Json)
                timeout { requestTimeoutMillis = EXCHANGE_TIMEOUT_MILLIS }
                setBody(body)
            }
            if (!response.status.isSuccess()) return false
            val reply = WireJson.decodeFromString(PeerEnvelope.serializer(), response.bodyAsText())
            loop.post { node, now -> node.receive(now, reply) }
            true
        } catch (_: IOException) {
            false
        } catch (_: SerializationException) {
            false
        }
    }

    /** Counts an envelope with its HTTP head against the control budget. */
    fun countBytes(bodyBytes: Int) {
        val wireBytes = bodyBytes + HTTP_HEAD_BYTES
        metrics.controlBytes(wireBytes)
        loop.post { node, _ ->
            node.budget.spend(wireBytes.toLong())
            emptyList()
        }
    }

    private companion object {
        const val EXCHANGE_TIMEOUT_MILLIS = 500L
        const val FETCH_TIMEOUT_MILLIS = 2_000L
        const val HTTP_HEAD_BYTES = 250
    }
}
