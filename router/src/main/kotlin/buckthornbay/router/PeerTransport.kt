package buckthornbay.router

import buckthornbay.core.Clock
import buckthornbay.protocol.Heartbeat
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

/**
 * Sends messages to peers: heartbeats as requests of their own, whose answers show that the peer lives, and all else on one
 * long-lived stream for each peer.
 */
internal class PeerTransport(
    private val settings: RouterSettings,
    private val incarnation: Long,
    private val clients: PeerClients,
    private val scope: CoroutineScope,
    private val loop: NodeLoop,
    private val metrics: RouterMetrics,
    private val clock: Clock,
) {
    private val links = ConcurrentHashMap<String, LinkState>()
    private val heardAtMillis = ConcurrentHashMap<HostId, Long>()
    private val sequence = AtomicLong()

    private class LinkState(val link: PeerLink, val openedAtMillis: Long)

    /** Sends [messages] to the peer at [url] without waiting for them to arrive. */
    fun offer(url: String, host: HostId?, messages: List<PeerMessage>) {
        val (heartbeats, others) = messages.partition { it is Heartbeat }
        if (heartbeats.isNotEmpty()) scope.launch { exchange(url, host, heartbeats) }
        if (others.isNotEmpty() && host != null) linkTo(url, host).offer(envelope(others))
    }

    fun envelope(messages: List<PeerMessage>) = PeerEnvelope(settings.host, incarnation, sequence.incrementAndGet(), messages)

    /** Notes that [host] was heard from, so that its silence can be told. */
    fun recordContact(host: HostId) {
        heardAtMillis[host] = clock.nowMillis()
    }

    suspend fun fetchState(url: String): VersionedState? = try {
        val response = clients.pooled.get("$url/internal/v1/state") {
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

    /**
     * Returns the open link to [host]; one on which nothing came back for a while is replaced, as its connection may be lost.
     */
    private fun linkTo(url: String, host: HostId): PeerLink = checkNotNull(
        links.compute(url) { _, current ->
            if (current != null && current.link.isOpen && !isSilent(current, host)) return@compute current
            current?.link?.close()
            LinkState(newLink(url, host), clock.nowMillis())
        },
    ).link

    private fun isSilent(state: LinkState, host: HostId): Boolean {
        val lastSignMillis = maxOf(state.openedAtMillis, heardAtMillis[host] ?: 0)
        return clock.nowMillis() - lastSignMillis > SILENT_LINK_MILLIS
    }

    private fun newLink(url: String, host: HostId): PeerLink {
        val link = PeerLink(url, settings.fleetKey, clients.fresh, ::countBytes)
        link.open(scope) { loop.post { node, now -> node.markUnreachable(now, host) } }
        return link
    }

    private suspend fun exchange(url: String, host: HostId?, heartbeats: List<PeerMessage>) {
        val body = WireJson.encodeToString(PeerEnvelope.serializer(), envelope(heartbeats))
        countBytes(body.length + REQUEST_HEAD_BYTES)
        val reply = try {
            val response = clients.pooled.post("$url/internal/v1/messages") {
                bearerAuth(settings.fleetKey)
                contentType(ContentType.Application.Json)
                timeout { requestTimeoutMillis = EXCHANGE_TIMEOUT_MILLIS }
                setBody(body)
            }
            response.takeIf { it.status.isSuccess() }?.let {
                WireJson.decodeFromString(PeerEnvelope.serializer(), it.bodyAsText())
            }
        } catch (_: IOException) {
            null
        } catch (_: SerializationException) {
            null
        }
        when {
            reply != null -> take(reply)
            host != null -> loop.post { node, now -> node.markUnreachable(now, host) }
        }
    }

    private fun take(reply: PeerEnvelope) {
        recordContact(reply.from)
        loop.post { node, now -> node.receive(now, reply) }
    }

    /** Counts what goes on the wire against the control budget. */
    fun countBytes(wireBytes: Int) {
        metrics.controlBytes(wireBytes)
        loop.post { node, _ ->
            node.budget.spend(wireBytes.toLong())
            emptyList()
        }
    }

    private companion object {
        const val EXCHANGE_TIMEOUT_MILLIS = 500L
        const val FETCH_TIMEOUT_MILLIS = 2_000L
        const val SILENT_LINK_MILLIS = 3_000L

        /** What the head of a request to a peer takes. */
        const val REQUEST_HEAD_BYTES = 250
    }
}

/** The clients for peers: pooled connections for single requests, fresh ones for long-lived streams. */
internal class PeerClients(val pooled: HttpClient, val fresh: HttpClient)
