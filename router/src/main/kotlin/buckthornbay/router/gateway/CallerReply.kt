package buckthornbay.router.gateway

import buckthornbay.core.admission.HoldReason
import io.netty.handler.codec.http.HttpResponseStatus

/** The reply to one caller: a refusal or a complete response of an upstream. */
internal class CallerReply(
    private val context: GatewayContext,
    private val terms: RequestTerms,
    private val caller: CallerConnection,
) {
    /**
     * Refuses the request: states that it has not run and will not run, and when the caller may repeat it.
     *
     * @param retryAfterMillis time after which the cause of the refusal ends, in milliseconds; null if it depends on the load.
     * @param heldBy what kept the request queued before; null if it was not queued.
     */
    fun refuse(reason: String, retryAfterMillis: Long? = null, heldBy: HoldReason? = null) {
        val nowMillis = context.clock.nowMillis()
        val leftMillis = terms.callerDeadlineAtMillis - nowMillis
        val policy = context.admission.policy
        val delayMillis = retryAfterMillis?.let { policy.retryAfterPauseMillis(terms.route, it) }
            ?: policy.retryAfterMillis(terms.route, leftMillis)
        val retryAfterSeconds = twoDecimals(delayMillis / MILLIS_PER_SECOND)
        terms.fingerprint?.let {
            context.admission.priorWaits.recordRefusal(nowMillis, it, nowMillis - terms.firstReceivedAtMillis)
        }
        context.metrics.recordRefusedTokens(terms)
        context.metrics.refused(terms.service, heldBy)
        context.log.refused(terms, reason, refusalInputs(nowMillis, heldBy, retryAfterSeconds))
        caller.fail(HttpResponseStatus.SERVICE_UNAVAILABLE, "not run: $reason", retryAfterSeconds)
    }

    /**
     * Sends an upstream's complete [answer] to the caller.
     *
     * A status that callers of a non-repeatable route read as "not run" is replaced by 502, because the upstream did not state
     * that the request has not run.
     */
    fun forward(answer: BufferedResponse) {
        val status = answer.status
        if (!terms.route.repeatable && status.code() in NOT_RUN_STATUSES) {
            answer.release()
            caller.fail(HttpResponseStatus.BAD_GATEWAY, "the upstream answered ${status.code()} without saying that nothing ran")
            return
        }
        answer.memory.handOver {
            context.log.warning("event=response_dropped id=${terms.id} reason=\"the caller reads too slowly\"")
            caller.abort()
        }
        caller.answer(status, responseHeadersToForward(answer.headers), answer.body)
            .addListener { answer.memory.release() }
    }

    private fun refusalInputs(nowMillis: Long, heldBy: HoldReason?, retryAfterSeconds: String) = RefusalInputs(
        waitingCount = context.dispatcher.waitingCount,
        demandTokensPerSecond =
        terms.workspace?.let { context.admission.shares.demandTokensPerSecond(nowMillis, it) } ?: 0.0,
        begunTokensPerSecond = terms.workspace?.let { context.accounts.startedWork.tokensPerSecond(nowMillis, it) } ?: 0.0,
        shareTokensPerSecond = context.admission.shares.shareTokensPerSecond(nowMillis),
        waitingElsewhere = context.accounts.backlog.waitingCount(nowMillis),
        capacity = context.dispatcher.capacityOf(terms.service),
        heldBy = heldBy,
        retryAfterSeconds = retryAfterSeconds,
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Statuses from which a caller may conclude that the request has not run. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
