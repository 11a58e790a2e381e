package buckthornbay.router

import buckthornbay.protocol.AddressList
import buckthornbay.protocol.ErrorBody
import buckthornbay.protocol.HostAddress
import buckthornbay.protocol.LatencyClass
import buckthornbay.protocol.MemberStatus
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.RequestEnd
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.Service
import buckthornbay.protocol.WireJson
import buckthornbay.protocol.Workspace
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.util.concurrent.atomic.AtomicLong

/** The response to a call that is rejected before any part of it reaches an upstream. */
internal data class Rejection(val status: HttpStatusCode, val message: String, val retryAfterMillis: Long? = null)

/** The HTTP routes for callers. */
internal class CallerRoutes(private val context: DriverContext, private val hostIncarnation: Long, private val node: NodeView) {
    private val requestNumber = AtomicLong()

    fun install(route: Route) {
        route.get("/v1/addresses") { call.respondAddresses() }
        route.get("/v1/requests/{id}") { call.respondExplanation() }
        route.post("/v1/chat/completions") { call.handleModelRequest() }
        route.post("/v1/completions") { call.handleModelRequest() }
        route.route("{...}") { handle { call.handlePlainRequest() } }
    }

    private suspend fun ApplicationCall.respondAddresses() {
        val zone = request.queryParameters["zone"]
        val region = request.queryParameters["region"] ?: context.settings.region.value
        val alive = context.loop.ask { node, _ ->
            node.liveMembers.filter { it.status == MemberStatus.ALIVE }.map { it to node.loadPermilleOf(it.host) }
        }
        val nearest = alive.sortedWith(
            compareBy({ (member, _) -> member.zone.value != zone }, { it.first.region.value != region }, { it.second }),
        )
        val hosts = nearest.take(MAX_ADDRESSES).map { (member, _) -> HostAddress(member.host, member.url, member.zone) }
        val ttlMillis = context.catalog()?.state?.state?.policy?.addressTtlMillis ?: DEFAULT_TTL_MILLIS
        val body = WireJson.encodeToString(AddressList.serializer(), AddressList(hosts, ttlMillis))
        respondText(body, ContentType.Application.Json)
    }

    private suspend fun ApplicationCall.respondExplanation() {
        val workspace = authenticate().getOrElse { return reject(it) }
        val explanation = context.explanations.find(RequestId(parameters["id"].orEmpty()))
        if (explanation == null || explanation.workspace != workspace.id) {
            return reject(Rejection(HttpStatusCode.NotFound, "this host knows no such request of this workspace"))
        }
        respondText(WireJson.encodeToString(explanation), ContentType.Application.Json)
    }

    private suspend fun ApplicationCall.handleModelRequest() {
        val workspace = authenticate().getOrElse { return reject(it) }
        val body = readBody().getOrElse { return reject(it) }
        val model = parseModel(body).getOrElse { return reject(it) }
        val service = context.catalog()?.modelService(model)
            ?: return reject(Rejection(HttpStatusCode.NotFound, "no upstream holds the model '$model'"))
        serveRequest(workspace, service, body)
    }

    private suspend fun ApplicationCall.handlePlainRequest() {
        val workspace = authenticate().getOrElse { return reject(it) }
        val service = context.catalog()?.plainService(request.path())
            ?: return reject(Rejection(HttpStatusCode.NotFound, "no service is reached under ${request.path()}"))
        val body = readBody().getOrElse { return reject(it) }
        serveRequest(workspace, service, body)
    }

    private suspend fun ApplicationCall.serveRequest(workspace: Workspace, service: Service, body: ByteArray) {
        val latencyClass = latencyClassOf(service).getOrElse { return reject(it) }
        val pool = poolOf(service).getOrElse { return reject(it) }
        val id = RequestId("${context.settings.host}-$hostIncarnation-${requestNumber.incrementAndGet()}")
        val request = CallerRequest(
            id = id,
            workspace = workspace,
            service = service,
            latencyClass = latencyClass,
            pool = pool,
            method = request.httpMethod,
            uri = request.uri,
            headers = request.headers,
            body = body,
            unrepeatable = isUnrepeatable(service),
            idempotencyKey = request.header(IDEMPOTENCY_HEADER),
        )
        RequestDriver(context, request, Caller(this, id)).serve()
    }

    private fun ApplicationCall.authenticate(): Result<Workspace, Rejection> {
        val catalog = context.catalog()
        if (catalog == null || node.draining) {
            val cause = if (catalog == null) "this host has no configuration yet" else "this host is shutting down"
            return Err(Rejection(HttpStatusCode.ServiceUnavailable, "$cause; use another address", RETRY_ELSEWHERE_MILLIS))
        }
        val header = request.header(HttpHeaders.Authorization)
            ?: return Err(Rejection(HttpStatusCode.Unauthorized, "send the workspace's key as 'Authorization: Bearer KEY'"))
        val workspace = catalog.workspaceOf(header.removePrefix(BEARER))
            ?: return Err(Rejection(HttpStatusCode.Forbidden, "this key belongs to no workspace"))
        return Ok(workspace)
    }

    private suspend fun ApplicationCall.readBody(): Result<ByteArray, Rejection> {
        val limit = context.settings.maxBodyBytes
        val tooLarge = Err(Rejection(HttpStatusCode.PayloadTooLarge, "the body may have $limit bytes at most"))
        if ((request.contentLength() ?: 0) > limit) return tooLarge
        val bytes = receiveChannel().readRemaining(limit + 1L).readByteArray()
        return if (bytes.size > limit) tooLarge else Ok(bytes)
    }

    private fun ApplicationCall.latencyClassOf(service: Service): Result<LatencyClass, Rejection> {
        val name = request.header(CLASS_HEADER) ?: return Ok(service.classes.first())
        val known = service.classes.joinToString(", ") { it.id }
        val found = service.classes.find { it.id == name }
            ?: return Err(Rejection(HttpStatusCode.BadRequest, "'${service.id}' has no class '$name'; its classes are: $known"))
        return Ok(found)
    }

    private suspend fun poolOf(service: Service): Result<PoolId, Rejection> {
        val all = context.catalog()?.poolsOf(service).orEmpty()
        val eligible = all.filter { it.region == context.settings.region || service.crossRegion }
        val pool = context.loop.ask { node, _ -> node.choosePool(eligible) }
            ?: return Err(Rejection(HttpStatusCode.ServiceUnavailable, "no upstream of '${service.id}' may be used from here", 0))
        return Ok(pool)
    }

    private fun ApplicationCall.isUnrepeatable(service: Service): Boolean = service.unrepeatable.any { call ->
        val method = call.substringBefore(' ')
        request.httpMethod.value == method && request.path().startsWith(call.substringAfter(' '))
    }

    private fun parseModel(body: ByteArray): Result<String, Rejection> = try {
        Ok(WireJson.decodeFromString(ModelName.serializer(), body.decodeToString()).model)
    } catch (e: SerializationException) {
        val reason = e.message.orEmpty().lineSequence().first()
        Err(Rejection(HttpStatusCode.BadRequest, "the body must be JSON with a 'model': $reason"))
    }

    private companion object {
        const val MAX_ADDRESSES = 3
        const val DEFAULT_TTL_MILLIS = 10_000L
        const val RETRY_ELSEWHERE_MILLIS = 1_000L
        const val BEARER = "Bearer "
        const val CLASS_HEADER = "Buckthornbay-Class"
        const val IDEMPOTENCY_HEADER = "Idempotency-Key"
    }
}

/** A view of the node's state that routes can read from any thread. */
internal class NodeView {
    @Volatile
    var draining: Boolean = false
}

/** Responds with [rejection] and the outcome [RequestEnd.NOT_RUN]. */
internal suspend fun ApplicationCall.reject(rejection: Rejection) {
    response.header(Caller.END_HEADER, RequestEnd.NOT_RUN.name.lowercase())
    rejection.retryAfterMillis?.let { response.header(HttpHeaders.RetryAfter, maxOf(1, it / MILLIS_PER_SECOND).toString()) }
    val body = ErrorBody(rejection.message, RequestEnd.NOT_RUN, retryAfterMillis = rejection.retryAfterMillis)
    respondText(WireJson.encodeToString(ErrorBody.serializer(), body), ContentType.Application.Json, rejection.status)
}

private const val MILLIS_PER_SECOND = 1_000L

@Serializable
internal data class ModelName(val model: String)
