package buckthornbay.router.gateway

import buckthornbay.core.admission.BufferBudget
import buckthornbay.core.admission.RequestFingerprint
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.resumption.StreamKey
import buckthornbay.core.routing.Route
import buckthornbay.core.routing.RouteKind
import buckthornbay.core.routing.RouteMatch
import buckthornbay.core.routing.RouteTable
import buckthornbay.core.routing.homeRegionsOf
import buckthornbay.protocol.ServiceId
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus

/** The handler of caller requests, which resolves route and workspace and starts a [ProxiedRequest] or rejects the request. */
internal class CallerHandler(private val context: GatewayContext, private val routes: () -> RouteTable?) : RequestHandler {
    private val names = context.callerInterface.headers

    override val buffers: BufferBudget get() = context.buffers
    override val connections = LinkedHashSet<CallerConnection>()

    /** Whether the host is draining: responses ask callers to close the connection. */
    override var closing = false

    /** Whether new requests are rejected because the host shuts down. */
    var refusing = false

    /** Time at which the host ends the requests that are then in progress, in milliseconds; null while it doesn't shut down. */
    var endsAtMillis: Long? = null

    override val limits: ReadLimits
        get() {
            val limits = routes()?.configuration?.limits ?: return DEFAULT_LIMITS
            return ReadLimits(limits.maxBodyBytes, limits.headerTimeoutMillis, limits.idleTimeoutMillis)
        }

    override val shedsConnections: Boolean get() = context.connectionBudget.isScarce

    override val rejectsConnections: Boolean get() = context.connectionBudget.isExhausted

    override fun errorBody(message: String): String = context.callerInterface.errorBody(message)

    override fun invalidRequest(status: Int, reason: String) {
        context.log.rejected(id = null, status, reason)
    }

    override fun handle(request: ReceivedRequest, caller: CallerConnection): CallerWork {
        val id = request.headers[names.attemptId]
        val table = routes()
        return when {
            id.isNullOrBlank() -> reject(request, caller, id, BAD_REQUEST, "send the header ${names.attemptId}")
            table == null -> reject(
                request,
                caller,
                id,
                UNAVAILABLE,
                "this host has no configuration yet",
                NO_CONFIGURATION_RETRY_S,
            )
            context.connectionBudget.isReserveReached ->
                reject(request, caller, id, UNAVAILABLE, "not run: this host has too many connections", CROWDED_RETRY_S)
            refusing -> reject(request, caller, id, UNAVAILABLE, "not run: this host is shutting down", SHUTDOWN_RETRY_S)
            else -> route(request, caller, id, table)
        }
    }

    private fun route(request: ReceivedRequest, caller: CallerConnection, id: String, table: RouteTable): CallerWork {
        val hostName = request.headers[HttpHeaderNames.HOST].substringBeforeLast(':')
        val key = request.headers[HttpHeaderNames.AUTHORIZATION]?.let(::bearerKey)
        return when (val match = table.match(hostName, request.path, key)) {
            RouteMatch.NoRoute -> reject(request, caller, id, HttpResponseStatus.NOT_FOUND, "no route begins this path")
            RouteMatch.UnknownKey ->
                reject(request, caller, id, HttpResponseStatus.UNAUTHORIZED, "send a key that belongs to a workspace")
            is RouteMatch.Found -> startRequest(request, caller, id, table, match)
        }
    }

    private fun startRequest(
        request: ReceivedRequest,
        caller: CallerConnection,
        id: String,
        table: RouteTable,
        match: RouteMatch.Found,
    ): CallerWork {
        val resumedId = resumedAttempt(request, match.route)
        val service = table.selectService(match.route, resumedId ?: id)
            ?: return reject(request, caller, id, UNAVAILABLE, "the route leads to no service", SHUTDOWN_RETRY_S)
        val remainingText = request.headers[names.remainingMillis]
        val remainingMillis = remainingText?.trim()?.toDoubleOrNull()?.toLong()
        if (remainingText != null && (remainingMillis == null || remainingMillis < 0)) {
            return reject(request, caller, id, BAD_REQUEST, "${names.remainingMillis} must be a number of milliseconds")
        }
        val resumes = resumedId?.let { StreamKey.of(match.workspace?.id, it) }
        val terms = termsOf(request, id, service, match, remainingMillis ?: match.route.timeoutMillis).copy(resumes = resumes)
        if (isCutOffByShutdown(terms)) {
            return reject(request, caller, id, UNAVAILABLE, "not run: this host is shutting down", SHUTDOWN_RETRY_S)
        }
        context.metrics.recordAskedTokens(terms)
        val proxied = ProxiedRequest(context, terms, request, caller)
        context.requests += proxied
        proxied.start()
        return proxied
    }

    /**
     * Returns the attempt that brought the first event of the stream that [request] takes up again; null if it begins a new one.
     *
     * A caller that has events of a stream but doesn't name its attempt gets an id that belongs to none.
     */
    private fun resumedAttempt(request: ReceivedRequest, route: Route): String? {
        if (route.kind != RouteKind.EVENT_STREAM || !route.resumable) return null
        return request.headers[names.resumedAttempt] ?: request.headers[names.lastEventId]?.let { "" }
    }

    /** Returns whether the shutdown may come before the response to a request that can't be repeated elsewhere then. */
    private fun isCutOffByShutdown(terms: RequestTerms): Boolean =
        !terms.route.repeatable && endsAtMillis?.let { terms.deadlineAtMillis > it } == true

    private fun termsOf(
        request: ReceivedRequest,
        id: String,
        service: ServiceId,
        match: RouteMatch.Found,
        callerTimeoutMillis: Long,
    ): RequestTerms {
        val nowMillis = context.clock.nowMillis()
        val demand = context.callerInterface.tokenDemand(request.headers[names.tokenDemand], request.headers[names.promptParts])
        val fingerprint = fingerprintOf(match, demand)
        val waitedMillis =
            fingerprint?.let { context.admission.priorWaits.waitedMillis(nowMillis, it, match.route.timeoutMillis) } ?: 0
        val rank = context.admission.rankOf(nowMillis, match.route, match.workspace?.id, demand, waitedMillis)
        val isBelowShare = match.workspace?.let { context.admission.shares.isBelowShare(nowMillis, it.id) } == true
        return RequestTerms(
            id = id,
            route = match.route,
            workspace = match.workspace?.id,
            service = service,
            resumes = null,
            homeRegions = homeRegionsOf(match.route, match.workspace),
            demand = demand,
            fingerprint = fingerprint,
            rank = rank,
            isBelowShare = isBelowShare,
            firstReceivedAtMillis = nowMillis - waitedMillis,
            arrivedAtMillis = nowMillis,
            callerDeadlineAtMillis = nowMillis + callerTimeoutMillis,
            deadlineAtMillis = nowMillis + minOf(callerTimeoutMillis, match.route.timeoutMillis),
        )
    }

    /**
     * Returns the fingerprint that identifies a repeated request, or null if the request has no prompt parts, because different
     * requests of one workspace would then have the same fingerprint.
     */
    private fun fingerprintOf(match: RouteMatch.Found, demand: TokenDemand?): RequestFingerprint? {
        val workspace = match.workspace?.id ?: return null
        if (demand == null || demand.parts.isEmpty()) return null
        return RequestFingerprint(match.route.name, workspace, demand)
    }

    private fun reject(
        request: ReceivedRequest,
        caller: CallerConnection,
        id: String?,
        status: HttpResponseStatus,
        message: String,
        retryAfterSeconds: String? = null,
    ): CallerWork {
        request.release()
        context.log.rejected(id, status.code(), message)
        caller.fail(status, message, retryAfterSeconds)
        return CallerWork.Done
    }

    private fun bearerKey(header: String): String? {
        val scheme = header.substringBefore(' ')
        return if (scheme.equals("Bearer", ignoreCase = true)) header.substringAfter(' ', "").trim() else null
    }

    private companion object {
        val BAD_REQUEST: HttpResponseStatus = HttpResponseStatus.BAD_REQUEST
        val UNAVAILABLE: HttpResponseStatus = HttpResponseStatus.SERVICE_UNAVAILABLE

        /** Retry-After of a host that has not loaded its configuration yet, in seconds; the store answers within this time. */
        const val NO_CONFIGURATION_RETRY_S = "0.3"

        /** Retry-After of a host that shuts down, in seconds; another host can serve the request after one round trip. */
        const val SHUTDOWN_RETRY_S = "0.05"

        /** Retry-After of a host that has few connections left, in seconds; by then callers know of other hosts. */
        const val CROWDED_RETRY_S = "0.5"
        val DEFAULT_LIMITS = ReadLimits(maxBodyBytes = 4_194_304, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000)
    }
}
