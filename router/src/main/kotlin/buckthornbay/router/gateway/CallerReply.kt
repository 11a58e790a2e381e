package buckthornbay.router.gateway

import io.netty.handler.codec.http.HttpResponseStatus

/** Tells one caller how its request ended, where that isn't a stream. */
internal class CallerReply(
    private val context: GatewayContext,
    private val terms: RequestTerms,
    private val caller: CallerConnection,
) {
    /** Promises that the request did not and will not run, and tells when to come back. */
    fun refuse(reason: String) {
        val nowMillis = context.clock.nowMillis()
        val leftMillis = terms.callerWaitsUntilMillis - nowMillis
        val retryAfterMillis = context.admission.policy.retryAfterMillis(terms.route, leftMillis)
        val retryAfterSeconds = twoDigits(retryAfterMillis / MILLIS_PER_SECOND)
        terms.likeness?.let { context.admission.patience.recordRefusal(nowMillis, it, nowMillis - terms.askedAtMillis) }
        context.log.refused(terms, reason, inputsAt(nowMillis, retryAfterSeconds))
        caller.fail(HttpResponseStatus.SERVICE_UNAVAILABLE, "not run: $reason", retryAfterSeconds)
    }

    /** Passes an upstream's whole [answer] on, unless it would promise something that the upstream did not say. */
    fun pass(answer: WholeAnswer) {
        val status = answer.status
        if (!terms.route.repeatable && status.code() in PROMISES_NOT_RUN) {
            answer.body.release()
            caller.fail(HttpResponseStatus.BAD_GATEWAY, "the upstream answered ${status.code()} without saying that nothing ran")
            return
        }
        caller.answer(status, answerHeadersToForward(answer.headers), answer.body)
    }

    private fun inputsAt(nowMillis: Long, retryAfterSeconds: String) = RefusalInputs(
        context.dispatcher.waitingCount,
        terms.workspace?.let { context.admission.shares.askedTokensPerSecond(nowMillis, it) } ?: 0.0,
        context.admission.shares.shareTokensPerSecond(nowMillis),
        retryAfterSeconds,
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Statuses by which callers may take it that nothing ran. */
        val PROMISES_NOT_RUN = setOf(408, 421, 429, 503)
    }
}
