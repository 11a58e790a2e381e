package buckthornbay.router

import buckthornbay.core.node.NodeEffect
import buckthornbay.protocol.EnvelopeDecoder
import buckthornbay.protocol.HostId
import buckthornbay.protocol.PeerEnvelope
import buckthornbay.protocol.PeerMessage
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.WireJson
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.readAvailable

/** The HTTP routes for peers, operators and monitoring. */
internal class FleetRoutes(
    private val context: DriverContext,
    private val transport: PeerTransport,
    private val runEffect: EffectRunner,
    private val requestDrain: () -> Unit,
) {
    fun install(route: Route) {
        route.post("/internal/v1/messages") { call.withKey(context.settings.fleetKey) { handleMessages() } }
        route.post("/internal/v1/stream") { call.withKey(context.settings.fleetKey) { handleStream() } }
        route.get("/internal/v1/state") { call.withKey(context.settings.fleetKey) { respondState() } }
        route.get("/operator/v1/status") { call.withKey(context.settings.operatorKey) { respondStatus() } }
        route.get("/operator/v1/state") { call.withKey(context.settings.operatorKey) { respondState() } }
        route.get("/operator/v1/requests/{id}") { call.withKey(context.settings.operatorKey) { respondExplanation() } }
        route.post("/operator/v1/drain") {
            call.withKey(context.settings.operatorKey) {
                requestDrain()
                respond(HttpStatusCode.Accepted)
            }
        }
        route.get("/metrics") { call.respondMetrics() }
        route.get("/healthz") { call.respondText("ok\n") }
        route.get("/readyz") { call.respondReadiness() }
    }

    private suspend fun ApplicationCall.withKey(key: String, handle: suspend ApplicationCall.() -> Unit) {
        val authorization = request.header(HttpHeaders.Authorization)
        when (authorization) {
            "Bearer $key" -> handle()
            null -> reject(Rejection(HttpStatusCode.Unauthorized, "this route needs a key"))
            else -> reject(Rejection(HttpStatusCode.Forbidden, "this key does not open this route"))
        }
    }

    private suspend fun ApplicationCall.handleMessages() {
        val envelope = WireJson.decodeFromString(PeerEnvelope.serializer(), receiveText())
        transport.recordContact(envelope.from)
        val effects = context.loop.ask { node, now -> node.receive(now, envelope) }
        val replies = ArrayList<PeerMessage>()
        effects.forEach { if (it.isReplyTo(envelope.from)) replies += (it as NodeEffect.Send).messages else runEffect.run(it) }
        val body = WireJson.encodeToString(PeerEnvelope.serializer(), transport.envelope(replies))
        transport.countBytes(body.length + RESPONSE_OVERHEAD_BYTES)
        respondText(body, ContentType.Application.Json)
    }

    private suspend fun ApplicationCall.handleStream() {
        val channel = receiveChannel()
        val buffer = ByteArray(BUFFER_BYTES)
        EnvelopeDecoder().use { decoder ->
            while (true) {
                val count = channel.readAvailable(buffer)
                if (count < 0) break
                decoder.decode(buffer, count).forEach(::receiveEnvelope)
            }
        }
        respond(HttpStatusCode.NoContent)
    }

    private fun receiveEnvelope(envelope: PeerEnvelope) {
        transport.recordContact(envelope.from)
        context.loop.post { node, now -> node.receive(now, envelope) }
    }

    private suspend fun ApplicationCall.respondState() {
        val state = context.catalog()?.state
        if (state == null) {
            respond(HttpStatusCode.NotFound)
        } else {
            respondText(WireJson.encodeToString(state), ContentType.Application.Json)
        }
    }

    private suspend fun ApplicationCall.respondStatus() {
        val status = context.loop.ask { node, _ -> node.status() }
        respondText(WireJson.encodeToString(status), ContentType.Application.Json)
    }

    private suspend fun ApplicationCall.respondExplanation() {
        val explanation = context.explanations.find(RequestId(parameters["id"].orEmpty()))
        if (explanation == null) {
            reject(Rejection(HttpStatusCode.NotFound, "this host knows no such request; ask the host that its id names"))
        } else {
            respondText(WireJson.encodeToString(explanation), ContentType.Application.Json)
        }
    }

    private suspend fun ApplicationCall.respondMetrics() {
        context.metrics.recordPools(context.loop.ask { node, _ -> node.status().pools })
        respondText(context.metrics.registry.scrape(), ContentType.Text.Plain)
    }

    private suspend fun ApplicationCall.respondReadiness() {
        if (context.catalog() == null) {
            respondText("no configuration yet\n", status = HttpStatusCode.ServiceUnavailable)
        } else {
            respondText("ready\n")
        }
    }

    private fun NodeEffect.isReplyTo(host: HostId) = this is NodeEffect.Send && this.host == host

    private companion object {
        const val BUFFER_BYTES = 4_096

        /** Estimated size of the status line and headers of a response to a peer, in bytes. */
        const val RESPONSE_OVERHEAD_BYTES = 100
    }
}
