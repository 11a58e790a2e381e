package buckthornbay.router

import buckthornbay.core.Clock
import buckthornbay.core.node.NodeEffect
import buckthornbay.core.pool.AttemptOutcome
import buckthornbay.core.pool.HolderEffect
import buckthornbay.core.pool.PoolRequest
import buckthornbay.core.request.FailureAction
import buckthornbay.core.request.FailureKind
import buckthornbay.core.request.RequestLifecycle
import buckthornbay.core.request.RetryBudget
import buckthornbay.protocol.RequestEnd
import buckthornbay.protocol.RequestId
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

/** What all requests of one host share. */
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

    fun inboxFor(id: RequestId): Channel<HolderEffect> = Channel<HolderEffect>(Channel.UNLIMITED).also { inboxes[id] = it }

    fun dropInbox(id: RequestId) {
        inboxes.remove(id)
    }

    /** Hands a decision to the request that it is about; the slot of one whose caller is gone is given back. */
    fun deliver(effect: NodeEffect.Request) {
        val decision = effect.effect
        val id = when (decision) {
            is HolderEffect.Dispatch -> decision.request.id
            is HolderEffect.Hedge -> decision.original
            is HolderEffect.Refuse -> decision.request.id
            is HolderEffect.Report -> return
        }
        val taken = inboxes[id]?.trySend(decision)?.isSuccess ?: false
        if (taken) return
        val started = when (decision) {
            is HolderEffect.Dispatch -> decision.request.id
            is HolderEffect.Hedge -> decision.copy.id
            else -> return
        }
        loop.post { node, now -> node.end(now, effect.pool, started, 0.0, AttemptOutcome.CANCELLED) }
    }

    fun budgetFor(request: CallerRequest): RetryBudget {
        val part = catalog()?.state?.state?.policy?.retryBudget ?: 0.0
        return budgets.getOrPut("${request.workspace.id}|${request.service.id}") { RetryBudget(part) }
    }
}

/** Takes one request from its arrival to its end. */
internal class RequestDriver(private val context: DriverContext, private val request: CallerRequest, private val caller: Caller) {
    private val clock = context.clock
    private val arrivedAtMillis = clock.nowMillis()
    private val lifecycle = RequestLifecycle(request.unrepeatable, resumable = request.isModel, context.budgetFor(request))
    private val relay = AnswerRelay(context.settings.upstreamSilenceMillis)
    private val inbox = context.inboxFor(request.id)
    private var excluded = emptySet<UpstreamId>()
    private var waiting = false
    private val running = HashMap<RequestId, CostMeter>()

    /** Serves the request and returns its end, which the caller has been told. */
    suspend fun serve(): RequestEnd {
        context.explanations.begin(request.id, request.workspace.id, request.service.id)
        try {
            val end = coroutineScope { serveIn(this) }
            finish(end)
            return end
        } catch (e: CancellationException) {
            note("the caller left")
            val after = if (lifecycle.end == null) lifecycle.failed(FailureKind.CALLER_LEFT) else null
            finish((after as? FailureAction.End)?.end ?: lifecycle.end ?: RequestEnd.UNKNOWN)
            throw e
        } catch (e: IOException) {
            finish(lifecycle.end ?: RequestEnd.UNKNOWN)
            throw e
        } finally {
            context.dropInbox(request.id)
            release()
        }
    }

    private suspend fun serveIn(scope: CoroutineScope): RequestEnd {
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

    /** Claims the key of an unrepeatable request that has one; returns the end where it must not be sent. */
    private suspend fun claimKey(): RequestEnd? {
        val key = request.idempotencyKey.takeIf { request.unrepeatable } ?: return null
        val outcome = context.claims.claim(request.workspace.id, key, request.id)
        note("claim of its key: $outcome")
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
        val pooled = poolRequest()
        context.loop.post { node, now -> node.arrive(now, request.pool, pooled) }
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
        note("refused: ${decision.reason}")
        caller.fail(RefusalText.of(decision.reason), end, decision.retryAfterMillis)
        return end
    }

    /** Tries one upstream, and a second one beside it where that is hedged; returns the end, or null to queue again. */
    private suspend fun attempt(scope: CoroutineScope, decision: HolderEffect.Dispatch): RequestEnd? {
        lifecycle.dispatched()
        val attempts = Attempts(scope)
        attempts.begin(request.id, decision.upstream)
        val kind = attempts.firstAnswer()
        val winner = attempts.winner
        if (winner == null) return afterFailure(checkNotNull(kind) { "attempts end with an answer or a failure" })
        return pass(scope, winner)
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
            note("sent to $upstreamId")
            running[id] = CostMeter(request.service.cost, clock.nowMillis()) { units ->
                context.loop.post { node, _ ->
                    node.progress(request.pool, id, units)
                    emptyList()
                }
            }
            open[id] = context.upstreams.open(scope, upstream, request)
        }

        /** Waits for the first answer, which wins; returns how the last attempt failed where none answers. */
        suspend fun firstAnswer(): FailureKind? {
            var worst: FailureKind? = null
            while (open.isNotEmpty()) {
                val silent = Done(open.keys.first(), open.values.first(), FailureKind.BROKEN_BEFORE_ANSWER)
                val done = withTimeoutOrNull(context.settings.upstreamSilenceMillis) { nextHead() } ?: silent
                open.remove(done.id)
                if (done.failure == null) {
                    win(done)
                    return null
                }
                done.exchange.cancel()
                excluded = excluded + done.exchange.upstream.id
                settle(done.id, AttemptOutcome.FAILED)
                note("${done.exchange.upstream.id} failed: ${done.failure}")
                worst = worseOf(worst, done.failure)
            }
            return worst ?: FailureKind.NOT_CONNECTED
        }

        private suspend fun nextHead(): Done {
            while (true) {
                select<Done?> {
                    open.forEach { (id, exchange) -> exchange.head.onAwait { Done(id, exchange, it.getError()) } }
                    inbox.onReceive { decision ->
                        if (decision is HolderEffect.Hedge) hedge(decision)
                        null
                    }
                }?.let { return it }
            }
        }

        private fun hedge(decision: HolderEffect.Hedge) {
            context.metrics.hedged()
            note("hedged to ${decision.upstream}")
            begin(decision.copy.id, decision.upstream)
        }

        private fun win(done: Done) {
            winner = Winner(done.id, done.exchange)
            open.forEach { (id, exchange) ->
                exchange.cancel()
                settle(id, AttemptOutcome.CANCELLED)
            }
        }
    }

    private class Done(val id: RequestId, val exchange: UpstreamExchange, val failure: FailureKind?)

    private class Winner(val id: RequestId, val exchange: UpstreamExchange)

    private suspend fun pass(scope: CoroutineScope, winner: Winner): RequestEnd? {
        val head = winner.exchange.head.await().getOrElse { return afterFailure(it) }
        val lengthBytes = head.headers["Content-Length"]?.toLongOrNull()
        val meter = running.getValue(winner.id)
        if (lengthBytes != null && lengthBytes <= WHOLE_ANSWER_BYTES) {
            val whole = relay.readWhole(head.body, lengthBytes.toInt())
            val failure = whole.getError()
            if (failure != null) return failAttempt(winner, failure)
            lifecycle.answering()
            val bytes = whole.getOrElse { ByteArray(0) }
            settleWhole(winner, meter, bytes)
            caller.answerWhole(head, bytes)
            lifecycle.completed()
            return RequestEnd.ANSWERED
        }
        lifecycle.answering()
        noteAnswering(winner.id)
        return stream(scope, winner, head, meter)
    }

    private fun settleWhole(winner: Winner, meter: CostMeter, bytes: ByteArray) {
        winner.exchange.finish()
        if (request.isModel) AnswerRelay.usageIn(bytes.decodeToString())?.let(meter::settle)
        settle(winner.id, AttemptOutcome.COMPLETED)
    }

    private suspend fun stream(scope: CoroutineScope, winner: Winner, head: AnswerHead, meter: CostMeter): RequestEnd {
        val answer = AnswerStream(context.upstreams, relay, lifecycle, meter, ::note)
        var end: RequestEnd? = null
        caller.answerStream(head) { to -> end = answer.pass(scope, winner.exchange, head, request.isModel, to, caller) }
        settle(winner.id, if (end == RequestEnd.ANSWERED) AttemptOutcome.COMPLETED else AttemptOutcome.FAILED)
        return checkNotNull(end) { "a stream that was answered has an end" }
    }

    private suspend fun failAttempt(winner: Winner, kind: FailureKind): RequestEnd? {
        winner.exchange.cancel()
        excluded = excluded + winner.exchange.upstream.id
        settle(winner.id, AttemptOutcome.FAILED)
        return afterFailure(kind)
    }

    private suspend fun afterFailure(kind: FailureKind): RequestEnd? = when (val after = lifecycle.failed(kind)) {
        is FailureAction.End -> after.end.also { caller.fail(RefusalText.of(it), it, null) }
        FailureAction.Retry -> null.also { context.metrics.retried() }
        FailureAction.Resume -> error("only a begun answer can be resumed")
    }

    private fun noteAnswering(id: RequestId) = context.loop.post { node, now ->
        node.answering(now, request.pool, id)
        emptyList()
    }

    private fun settle(id: RequestId, outcome: AttemptOutcome) {
        val meter = running.remove(id)
        if (!request.isModel) meter?.settleTime(clock.nowMillis())
        val units = meter?.units ?: 0.0
        context.loop.post { node, now -> node.end(now, request.pool, id, units, outcome) }
    }

    private fun release() {
        running.keys.toList().forEach { settle(it, AttemptOutcome.CANCELLED) }
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

    private fun note(decision: String) {
        context.explanations.note(request.id, decision)
        log.info { "request ${request.id} workspace=${request.workspace.id} pool=${request.pool} $decision" }
    }

    private companion object {
        const val WHOLE_ANSWER_BYTES = 262_144L
    }
}

/** Of two failures, returns the one after which less may be said. */
private fun worseOf(first: FailureKind?, second: FailureKind): FailureKind =
    if (first == null || second.ordinal > first.ordinal) second else first
