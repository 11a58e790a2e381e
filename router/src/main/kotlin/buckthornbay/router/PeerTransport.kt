package buckthornbay.router

import buckthornbay.core.Clock
import buckthornbay.protocol.Heartbeat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.PeerEnvelope
import buckthornbay.protocol.PeerMessage
import buckthornbay.protocol.VersionedState
import buckthornbay.protocol.WireJson
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
 * The transport for messages to peers.
 *
 * Each heartbeat is a separate request, whose response shows that the peer is alive. All other messages use one long-lived stream
 * per peer.
 */
internal class PeerTransport(
    private val settings: RouterSettings,
    private val incarnation: Long,
    private val clients: HostClients,
    private val scope: CoroutineScope,
    private val loop: NodeLoop,
    private val metrics: RouterMetrics,
    private val clock: Clock,
) {
    private val links = ConcurrentHashMap<String, LinkState>()
    private val lastContactAtMillis = ConcurrentHashMap<HostId, Long>()
    private val sequence = AtomicLong()

    private class LinkState(val link: PeerLink, val openedAtMillis: Long)

    /** Sends [messages] to the peer at [url] without waiting for delivery. */
    fun send(url: String, host: HostId?, messages: List<PeerMessage>) {
        val (heartbeats, others) = messages.partition { it is Heartbeat }
        if (heartbeats.isNotEmpty()) scope.launch { sendHeartbeats(url, host, heartbeats) }
        if (others.isNotEmpty() && host != null) linkTo(url, host).send(envelope(others))
    }

    fun envelope(messages: List<PeerMessage>) = PeerEnvelope(settings.host, incarnation, sequence.incrementAndGet(), messages)

    /** Records that a message from [host] was received, which is used to detect silent links. */
    fun recordContact(host: HostId) {
        lastContactAtMillis[host] = clock.nowMillis()
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

    /** Returns the open link to [host]; replaces it if the host has been silent, because the connection may be lost. */
    private fun linkTo(url: String, host: HostId): PeerLink = checkNotNull(
        links.compute(url) { _, current ->
            if (current != null && current.link.isOpen && !isSilent(current, host)) return@compute current
            current?.link?.close()
            LinkState(newLink(url, host), clock.nowMillis())
        },
    ).link

    private fun isSilent(state: LinkState, host: HostId): Boolean {
        val lastActivityAtMillis = maxOf(state.openedAtMillis, lastContactAtMillis[host] ?: 0)
        return clock.nowMillis() - lastActivityAtMillis > SILENT_LINK_MILLIS
    }

    private fun newLink(url: String, host: HostId): PeerLink {
        val link = PeerLink(url, settings.fleetKey, clients.peerStreams, ::countBytes)
        link.open(scope) { loop.post { node, now -> node.markUnreachable(now, host) } }
        return link
    }

    private suspend fun sendHeartbeats(url: String, host: HostId?, heartbeats: List<PeerMessage>) {
        val body = WireJson.encodeToString(PeerEnvelope.serializer(), envelope(heartbeats))
        countBytes(body.length + REQUEST_OVERHEAD_BYTES)
        val reply = try {
            val response = clients.pooled.post("$url/internal/v1/messages") {
                bearerAuth(settings.fleetKey)
                contentType(ContentType.Application.Json)
                timeout { requestTimeoutMillis = HEARTBEAT_TIMEOUT_MILLIS }
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
            reply != null -> receiveReply(reply)
            host != null -> loop.post { node, now -> node.markUnreachable(now, host) }
        }
    }

    private fun receiveReply(reply: PeerEnvelope) {
        recordContact(reply.from)
        loop.post { node, now -> node.receive(now, reply) }
    }

    /** Charges [wireBytes] bytes of control traffic to the bandwidth budget and counts them in the metrics. */
    fun countBytes(wireBytes: Int) {
        metrics.controlMessageSent(wireBytes)
        loop.post { node, _ ->
            node.budget.spend(wireBytes.toLong())
            emptyList()
        }
    }

    private companion object {
        const val HEARTBEAT_TIMEOUT_MILLIS = 500L
        const val FETCH_TIMEOUT_MILLIS = 2_000L
        const val SILENT_LINK_MILLIS = 3_000L

        /** Estimated size of the request line and headers of a request to a peer, in bytes. */
        const val REQUEST_OVERHEAD_BYTES = 250
    }
}
