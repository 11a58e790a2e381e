package buckthornbay.router

import buckthornbay.core.Clock
import buckthornbay.core.node.NodeEffect
import buckthornbay.core.pool.AttemptOutcome
import buckthornbay.core.pool.HolderEffect
import buckthornbay.core.pool.PoolRequest
import buckthornbay.core.request.FailureAction
import buckthornbay.core.request.FailureKind
import buckthornbay.core.request.RequestLifecycle
import buckthornbay.core.request.ResponseEndDecision
import buckthornbay.core.request.RetryBudget
import buckthornbay.protocol.RequestEnd
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.Upstream
import buckthornbay.protocol.UpstreamId
import buckthornbay.store.ClaimOutcome
import buckthornbay.store.KeyClaims
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** The components that all requests of a host share. */
internal class DriverContext(
    val settings: RouterSettings,
    val loop: NodeLoop,
    val upstreams: UpstreamClient,
    val explanations: Explanations,
    val metrics: RouterMetrics,
    val clock: Clock,
    val claims: KeyClaims,
    val catalog: () -> Catalog?,
) {
    private val inboxes = ConcurrentHashMap<RequestId, Channel<HolderEffect>>()
    private val budgets = ConcurrentHashMap<String, RetryBudget>()
    private val endCheck = ResponseEndCheck(clock)

    fun inboxFor(id: RequestId): Channel<HolderEffect> = Channel<HolderEffect>(Channel.UNLIMITED).also { inboxes[id] = it }

    fun dropInbox(id: RequestId) {
        inboxes.remove(id)
    }

    /**
     * Delivers a scheduling decision to its request.
     *
     * If the request has already ended, for example because its caller disconnected, the slot assigned to it is released.
     */
    fun deliver(effect: NodeEffect.Request) {
        val decision = effect.effect
        val id = when (decision) {
            is HolderEffect.Dispatch -> decision.request.id
            is HolderEffect.Hedge -> decision.original
            is HolderEffect.Refuse -> decision.request.id
            is HolderEffect.Report -> return
        }
        val delivered = inboxes[id]?.trySend(decision)?.isSuccess ?: false
        if (delivered) return
        val attemptId = when (decision) {
            is HolderEffect.Dispatch -> decision.request.id
            is HolderEffect.Hedge -> decision.copy.id
            else -> return
        }
        loop.post { node, now -> node.end(now, effect.pool, attemptId, 0.0, AttemptOutcome.CANCELLED) }
    }

    /** Decides about a response of [upstream] that only the end of its connection ended. */
    suspend fun checkEnd(upstream: Upstream): ResponseEndDecision {
        val isConfigured = catalog()?.upstream(upstream.id)?.leaving == false
        val isLeaving = !isConfigured || loop.ask { node, _ -> node.isLeaving(upstream.id) }
        return endCheck.decide(upstream, isLeaving)
    }

    fun budgetFor(request: CallerRequest): RetryBudget {
        val retryRatio = catalog()?.state?.state?.policy?.retryBudget ?: 0.0
        return budgets.getOrPut("${request.workspace.id}|${request.service.id}") { RetryBudget(retryRatio) }
    }
}

/** The processing of one request: queueing, attempts at upstreams with retries and hedging, and the response to the caller. */
internal class RequestDriver(private val context: DriverContext, private val request: CallerRequest, private val caller: Caller) {
    private val clock = context.clock
    private val arrivedAtMillis = clock.nowMillis()
    private val lifecycle = RequestLifecycle(request.unrepeatable, resumable = request.isModel, context.budgetFor(request))
    private val relay = ResponseRelay(context.settings.upstreamSilenceMillis)
    private val inbox = context.inboxFor(request.id)
    private var excluded = emptySet<UpstreamId>()
    private var waiting = false
    private val costMeters = HashMap<RequestId, CostMeter>()

    /** Serves the request and returns its outcome, which has been sent to the caller. */
    suspend fun serve(): RequestEnd {
        context.explanations.begin(request.id, request.workspace.id, request.service.id)
        try {
            val end = coroutineScope { serveInScope(this) }
            finish(end)
            return end
        } catch (e: CancellationException) {
            recordDecision("the caller left")
            val action = if (lifecycle.end == null) lifecycle.failed(FailureKind.CALLER_LEFT) else null
            finish((action as? FailureAction.End)?.end ?: lifecycle.end ?: RequestEnd.UNKNOWN)
            throw e
        } catch (e: IOException) {
            finish(lifecycle.end ?: RequestEnd.UNKNOWN)
            throw e
        } finally {
            context.dropInbox(request.id)
            release()
        }
    }

    private suspend fun serveInScope(scope: CoroutineScope): RequestEnd {
        claimKey()?.let { return it }
        while (true) {
            queue()
            val decision = inbox.receive()
            waiting = false
            when (decision) {
                is HolderEffect.Refuse -> return refuse(decision)
                is HolderEffect.Dispatch -> attempt(scope, decision)?.let { return it }
                else -> Unit
            }
        }
    }

    /** Claims the idempotency key of an unrepeatable request; returns the outcome if the request must not be sent, else null. */
    private suspend fun claimKey(): RequestEnd? {
        val key = request.idempotencyKey.takeIf { request.unrepeatable } ?: return null
        val outcome = context.claims.claim(request.workspace.id, key, request.id)
        recordDecision("claim of its key: $outcome")
        return when (outcome) {
            ClaimOutcome.Granted -> null
            is ClaimOutcome.Taken -> refuseKey(
                "another request with this key was accepted before, as ${outcome.holder}",
                RequestEnd.UNKNOWN,
            )
            is ClaimOutcome.Unclear -> refuseKey("the platform can't record the key now, so nothing was run", RequestEnd.NOT_RUN)
        }
    }

    private suspend fun refuseKey(message: String, end: RequestEnd): RequestEnd {
        lifecycle.refused()
        caller.fail(message, end, retryAfterMillis = null)
        return end
    }

    private fun queue() {
        lifecycle.queued()
        waiting = true
        val queuedRequest = poolRequest()
        context.loop.post { node, now -> node.arrive(now, request.pool, queuedRequest) }
    }

    private fun poolRequest() = PoolRequest(
        id = request.id,
        workspace = request.workspace.id,
        latencyClass = request.latencyClass.id,
        long = request.latencyClass.long,
        hintUnits = request.latencyClass.estimatedCostUnits,
        arrivedAtMillis = arrivedAtMillis,
        deadlineAtMillis = arrivedAtMillis + request.latencyClass.deadlineMillis,
        excluded = excluded,
        hedgeable = !request.unrepeatable && !request.latencyClass.long,
    )

    private suspend fun refuse(decision: HolderEffect.Refuse): RequestEnd {
        val end = (lifecycle.refused() as FailureAction.End).end
        recordDecision("refused: ${decision.reason}")
        caller.fail(RefusalText.of(decision.reason), end, decision.retryAfterMillis)
        return end
    }

    /** Sends the request to an upstream and, if hedged, to a second one; returns the outcome, or null to queue it again. */
    private suspend fun attempt(scope: CoroutineScope, decision: HolderEffect.Dispatch): RequestEnd? {
        lifecycle.dispatched()
        val attempts = Attempts(scope)
        attempts.begin(request.id, decision.upstream)
        val failure = attempts.firstResponse()
        val winner = attempts.winner
        if (winner == null) return afterFailure(checkNotNull(failure) { "attempts ended without a response or failure" })
        return forwardResponse(scope, winner)
    }

    private inner class Attempts(private val scope: CoroutineScope) {
        private val open = LinkedHashMap<RequestId, UpstreamExchange>()
        var winner: Winner? = null

        fun begin(id: RequestId, upstreamId: UpstreamId) {
            val upstream = context.catalog()?.upstream(upstreamId)
            if (upstream == null) {
                settle(id, AttemptOutcome.FAILED)
                return
            }
            recordDecision("sent to $upstreamId")
            costMeters[id] = CostMeter(request.service.cost, clock.nowMillis()) { units ->
                context.loop.post { node, _ ->
                    node.progress(request.pool, id, units)
                    emptyList()
                }
            }
            open[id] = context.upstreams.open(scope, upstream, request)
        }

        /** Selects the attempt that responds first as the winner; returns null, or the failure to report if all attempts fail. */
        suspend fun firstResponse(): FailureKind? {
            var worstFailure: FailureKind? = null
            while (open.isNotEmpty()) {
                val timedOut = AttemptResult(open.keys.first(), open.values.first(), FailureKind.BROKEN_BEFORE_ANSWER)
                val result = withTimeoutOrNull(context.settings.upstreamSilenceMillis) { nextResult() } ?: timedOut
                open.remove(result.id)
                if (result.failure == null) {
                    selectWinner(result)
                    return null
                }
                result.exchange.cancel()
                excluded = excluded + result.exchange.upstream.id
                settle(result.id, AttemptOutcome.FAILED)
                recordDecision("${result.exchange.upstream.id} failed: ${result.failure}")
                worstFailure = lessCertainOf(worstFailure, result.failure)
            }
            return worstFailure ?: FailureKind.NOT_CONNECTED
        }

        private suspend fun nextResult(): AttemptResult {
            while (true) {
                select<AttemptResult?> {
                    open.forEach { (id, exchange) -> exchange.head.onAwait { AttemptResult(id, exchange, it.getError()) } }
                    inbox.onReceive { decision ->
                        if (decision is HolderEffect.Hedge) hedge(decision)
                        null
                    }
                }?.let { return it }
            }
        }

        private fun hedge(decision: HolderEffect.Hedge) {
            context.metrics.hedged()
            recordDecision("hedged to ${decision.upstream}")
            begin(decision.copy.id, decision.upstream)
        }

        private fun selectWinner(result: AttemptResult) {
            winner = Winner(result.id, result.exchange)
            open.forEach { (id, exchange) ->
                exchange.cancel()
                settle(id, AttemptOutcome.CANCELLED)
            }
        }
    }

    private class AttemptResult(val id: RequestId, val exchange: UpstreamExchange, val failure: FailureKind?)

    private class Winner(val id: RequestId, val exchange: UpstreamExchange)

    private suspend fun forwardResponse(scope: CoroutineScope, winner: Winner): RequestEnd? {
        val head = winner.exchange.head.await().getOrElse { return afterFailure(it) }
        val lengthBytes = head.headers["Content-Length"]?.toLongOrNull()
        val meter = costMeters.getValue(winner.id)
        if (lengthBytes != null && lengthBytes <= MAX_BUFFERED_BYTES) {
            val buffered = relay.readFully(head.body, lengthBytes.toInt())
            val failure = buffered.getError()
            if (failure != null) return failAttempt(winner, failure)
            lifecycle.responseStarted()
            val bytes = buffered.getOrElse { ByteArray(0) }
            settleBuffered(winner, meter, bytes)
            caller.respondBuffered(head, bytes)
            lifecycle.completed()
            return RequestEnd.ANSWERED
        }
        lifecycle.responseStarted()
        markAnswering(winner.id)
        return stream(scope, winner, head, meter)
    }

    private fun settleBuffered(winner: Winner, meter: CostMeter, bytes: ByteArray) {
        winner.exchange.finish()
        if (request.isModel) ResponseRelay.parseUsage(bytes.decodeToString())?.let(meter::settle)
        settle(winner.id, AttemptOutcome.COMPLETED)
    }

    private suspend fun stream(scope: CoroutineScope, winner: Winner, head: ResponseHead, meter: CostMeter): RequestEnd {
        val forwarder = ResponseStream(context.upstreams, relay, lifecycle, meter, context::checkEnd, ::recordDecision)
        var end: RequestEnd? = null
        caller.respondStream(head) { to -> end = forwarder.forward(scope, winner.exchange, head, request.isModel, to, caller) }
        settle(winner.id, if (end == RequestEnd.ANSWERED) AttemptOutcome.COMPLETED else AttemptOutcome.FAILED)
        return checkNotNull(end) { "the response stream ended without an outcome" }
    }

    private suspend fun failAttempt(winner: Winner, kind: FailureKind): RequestEnd? {
        winner.exchange.cancel()
        excluded = excluded + winner.exchange.upstream.id
        settle(winner.id, AttemptOutcome.FAILED)
        return afterFailure(kind)
    }

    private suspend fun afterFailure(kind: FailureKind): RequestEnd? = when (val action = lifecycle.failed(kind)) {
        is FailureAction.End -> action.end.also { caller.fail(RefusalText.of(it), it, null) }
        FailureAction.Retry -> null.also { context.metrics.retried() }
        FailureAction.Resume -> error("cannot resume a response that has not started")
    }

    private fun markAnswering(id: RequestId) = context.loop.post { node, now ->
        node.responseStarted(now, request.pool, id)
        emptyList()
    }

    private fun settle(id: RequestId, outcome: AttemptOutcome) {
        val meter = costMeters.remove(id)
        if (!request.isModel) meter?.settleTime(clock.nowMillis())
        val units = meter?.units ?: 0.0
        context.loop.post { node, now -> node.end(now, request.pool, id, units, outcome) }
    }

    private fun release() {
        costMeters.keys.toList().forEach { settle(it, AttemptOutcome.CANCELLED) }
        if (waiting) {
            context.loop.post { node, now ->
                node.withdraw(request.pool, request.id)
                node.end(now, request.pool, request.id, 0.0, AttemptOutcome.CANCELLED)
            }
        }
    }

    private fun finish(end: RequestEnd) {
        val millis = clock.nowMillis() - arrivedAtMillis
        context.explanations.end(request.id, end)
        context.metrics.ended(request.service.id.value, end, millis)
        log.info { "request ${request.id} workspace=${request.workspace.id} pool=${request.pool} end=$end after_ms=$millis" }
    }

    private fun recordDecision(decision: String) {
        context.explanations.recordDecision(request.id, decision)
        log.info { "request ${request.id} workspace=${request.workspace.id} pool=${request.pool} $decision" }
    }

    private companion object {
        const val MAX_BUFFERED_BYTES = 262_144L
    }
}

/** Returns the failure that leaves the outcome of the request less certain. */
private fun lessCertainOf(first: FailureKind?, second: FailureKind): FailureKind =
    if (first == null || second.ordinal > first.ordinal) second else first
