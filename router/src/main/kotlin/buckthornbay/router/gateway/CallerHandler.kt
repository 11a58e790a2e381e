package buckthornbay.router.gateway

import buckthornbay.core.admission.RequestFingerprint
import buckthornbay.core.admission.WaitingRank
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.routing.RouteMatch
import buckthornbay.core.routing.RouteTable
import buckthornbay.protocol.ServiceId
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus

/** Takes callers' requests: finds route and workspace, and begins or turns away. */
internal class CallerHandler(private val context: GatewayContext, private val routes: () -> RouteTable?) : RequestHandler {
    private val names = context.callerInterface.headers

    override val connections = LinkedHashSet<CallerConnection>()

    /** Whether the host is about to stop: callers are asked to connect elsewhere. */
    override var closing = false

    /** Whether requests are turned away because the host has no time left to serve them. */
    var refusing = false

    override val limits: ReadLimits
        get() {
            val limits = routes()?.configuration?.limits ?: return BEFORE_CONFIGURATION
            return ReadLimits(limits.maxBodyBytes, limits.headerTimeoutMillis, limits.idleTimeoutMillis)
        }

    override fun errorBody(message: String): String = context.callerInterface.errorBody(message)

    override fun refusedUnread(status: Int, reason: String) {
        context.log.turnedAway(id = null, status, reason)
    }

    override fun handle(request: ReceivedRequest, caller: CallerConnection): CallerWork {
        val id = request.headers[names.attemptId]
        val table = routes()
        return when {
            id.isNullOrBlank() -> turnAway(request, caller, id, BAD_REQUEST, "send the header ${names.attemptId}")
            table == null -> turnAway(
                request,
                caller,
                id,
                UNAVAILABLE,
                "this host has no configuration yet",
                NO_CONFIGURATION_RETRY_S,
            )
            refusing -> turnAway(request, caller, id, UNAVAILABLE, "not run: this host is shutting down", SHUTDOWN_RETRY_S)
            else -> route(request, caller, id, table)
        }
    }

    private fun route(request: ReceivedRequest, caller: CallerConnection, id: String, table: RouteTable): CallerWork {
        val hostName = request.headers[HttpHeaderNames.HOST].substringBeforeLast(':')
        val key = request.headers[HttpHeaderNames.AUTHORIZATION]?.let(::bearerKey)
        return when (val match = table.match(hostName, request.path, key)) {
            RouteMatch.NoRoute -> turnAway(request, caller, id, HttpResponseStatus.NOT_FOUND, "no route begins this path")
            RouteMatch.UnknownKey ->
                turnAway(request, caller, id, HttpResponseStatus.UNAUTHORIZED, "send a key that belongs to a workspace")
            is RouteMatch.Found -> begin(request, caller, id, table, match)
        }
    }

    private fun begin(
        request: ReceivedRequest,
        caller: CallerConnection,
        id: String,
        table: RouteTable,
        match: RouteMatch.Found,
    ): CallerWork {
        val service = table.targetOf(match.route, id)
            ?: return turnAway(request, caller, id, UNAVAILABLE, "the route leads to no service", SHUTDOWN_RETRY_S)
        val remainingText = request.headers[names.remainingMillis]
        val remainingMillis = remainingText?.trim()?.toDoubleOrNull()?.toLong()
        if (remainingText != null && (remainingMillis == null || remainingMillis < 0)) {
            return turnAway(request, caller, id, BAD_REQUEST, "${names.remainingMillis} must be a number of milliseconds")
        }
        val terms = termsOf(request, id, service, match, remainingMillis ?: match.route.timeoutMillis)
        val proxied = ProxiedRequest(context, terms, request, caller)
        context.requests += proxied
        context.dispatcher.allowanceOf(service).recordRequest()
        proxied.start()
        return proxied
    }

    private fun termsOf(
        request: ReceivedRequest,
        id: String,
        service: ServiceId,
        match: RouteMatch.Found,
        waitsMillis: Long,
    ): RequestTerms {
        val nowMillis = context.clock.nowMillis()
        val demand = context.callerInterface.tokenDemand(request.headers[names.tokenDemand], request.headers[names.promptParts])
        val likeness = likenessOf(match, demand)
        val waitedMillis =
            likeness?.let { context.admission.patience.waitedMillis(nowMillis, it, match.route.timeoutMillis) } ?: 0
        return RequestTerms(
            id = id,
            route = match.route,
            workspace = match.workspace?.id,
            service = service,
            demand = demand,
            likeness = likeness,
            rank = rankOf(match, demand, waitedMillis),
            askedAtMillis = nowMillis - waitedMillis,
            arrivedAtMillis = nowMillis,
            callerWaitsUntilMillis = nowMillis + waitsMillis,
            deadlineAtMillis = nowMillis + minOf(waitsMillis, match.route.timeoutMillis),
        )
    }

    /** Without prompt parts requests of one workspace would be taken for each other. */
    private fun likenessOf(match: RouteMatch.Found, demand: TokenDemand?): RequestFingerprint? {
        val workspace = match.workspace?.id ?: return null
        if (demand == null || demand.parts.isEmpty()) return null
        return RequestFingerprint(match.route.name, workspace, demand)
    }

    private fun rankOf(match: RouteMatch.Found, demand: TokenDemand?, waitedMillis: Long): WaitingRank {
        val workspace = match.workspace?.id
        if (workspace == null || demand == null) return WaitingRank.DUE
        val within = context.admission.shares.tryAcquire(context.clock.nowMillis(), workspace, demand.workTokens)
        return when {
            waitedMillis >= (match.route.objectiveMillis ?: Long.MAX_VALUE) -> WaitingRank.LATE
            within -> WaitingRank.DUE
            else -> WaitingRank.BEYOND_SHARE
        }
    }

    private fun turnAway(
        request: ReceivedRequest,
        caller: CallerConnection,
        id: String?,
        status: HttpResponseStatus,
        message: String,
        retryAfterSeconds: String? = null,
    ): CallerWork {
        request.body.release()
        context.log.turnedAway(id, status.code(), message)
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

        /**
         * When a caller should try a host again that has just started, in seconds: the first answer of the store takes less.
         */
        const val NO_CONFIGURATION_RETRY_S = "0.3"

        /** When a caller that a stopping host turned away should try another, in seconds: at once but for a round trip. */
        const val SHUTDOWN_RETRY_S = "0.05"
        val BEFORE_CONFIGURATION = ReadLimits(maxBodyBytes = 4_194_304, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000)
    }
}
