package buckthornbay.router.gateway

import buckthornbay.core.admission.Waiting
import buckthornbay.core.admission.WaitingRank
import buckthornbay.core.load.Choice
import buckthornbay.core.load.SendOutcome
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.request.AfterFailure
import buckthornbay.core.request.AttemptLimits
import buckthornbay.core.request.FailureKind
import buckthornbay.core.request.RequestLifecycle
import buckthornbay.core.request.RequestState
import buckthornbay.core.routing.RouteKind
import buckthornbay.protocol.RequestEnd
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** A request of a caller from its arrival to its one end. */
internal class ProxiedRequest(
    private val context: GatewayContext,
    private val terms: RequestTerms,
    private val received: ReceivedRequest,
    private val caller: CallerConnection,
) : CallerWork,
    AttemptListener {
    private val route = terms.route
    private val lifecycle = RequestLifecycle(
        unrepeatable = !route.repeatable,
        resumable = route.kind == RouteKind.EVENT_STREAM && route.resumable,
        budget = context.dispatcher.allowanceOf(terms.service),
        limits = AttemptLimits(
            maxRuns = route.maxAttempts,
            maxSends = route.maxAttempts + UNREAD_SENDS,
            maxResumes = route.maxAttempts - 1,
            resumesAreRuns = true,
            refusalsDrawOnBudget = true,
        ),
    )
    private val reply = CallerReply(context, terms, caller)
    private val progress = StreamProgress()
    private val times = StreamTimes()
    private var attempt: Attempt? = null
    private var failedAnswer: WholeAnswer? = null
    private var deadlineTimer: ScheduledFuture<*>? = null
    private var waitTimer: ScheduledFuture<*>? = null
    private var callerGone = false
    private var headSent = false
    private var ended = false

    val id: String get() = terms.id
    val service: ServiceId get() = terms.service
    val workspaceId: WorkspaceId? get() = terms.workspace
    val demand: TokenDemand? get() = terms.demand
    override val mayRetry: Boolean get() = route.repeatable

    /** Which requests this one goes before while it waits; one that an upstream failed goes first, whatever its share. */
    val rank: WaitingRank get() = if (triedUpstreams.isEmpty()) terms.rank else WaitingRank.DUE
    val triedUpstreams = LinkedHashSet<UpstreamId>()

    /** This request's place in the queue, or null where it does not wait. */
    var waiting: Waiting<ProxiedRequest>? = null

    /** Begins with the request. */
    fun start() {
        val leftMillis = terms.deadlineAtMillis - context.clock.nowMillis()
        deadlineTimer = context.eventLoop.schedule(::timeOver, leftMillis.coerceAtLeast(0), TimeUnit.MILLISECONDS)
        queue()
    }

    /** Returns when waiting on can't bring an answer that serves the caller, in milliseconds. */
    fun giveUpAtMillis(): Long = if (triedUpstreams.isEmpty()) {
        context.admission.policy.giveUpAtMillis(route, rank, terms.arrivedAtMillis, terms.deadlineAtMillis)
    } else {
        context.admission.policy.repeatUntilMillis(context.clock.nowMillis(), terms.deadlineAtMillis)
    }

    /** Whether the request has time to wait for the upstream that is best for all. */
    fun isPatient(nowMillis: Long): Boolean =
        nowMillis < context.admission.policy.patientUntilMillis(route, terms.arrivedAtMillis)

    /** Sends the request to [upstream], which [choice] explains and which copies prompt parts from [copyFrom]. */
    fun send(upstream: UpstreamState, choice: Choice, copyFrom: String?) {
        waitTimer?.cancel(false)
        val resuming = lifecycle.state == RequestState.STREAMING
        if (!resuming) lifecycle.dispatched()
        triedUpstreams += upstream.entry.id
        val nowMillis = context.clock.nowMillis()
        upstream.candidate.load.sent(nowMillis, id, choice.cost)
        context.log.sent(terms, upstream.entry.id, choice, nowMillis - terms.arrivedAtMillis, triedUpstreams.size)
        if (resuming) progress.resumed()
        val next = Attempt(id, upstream, context, route.kind == RouteKind.EVENT_STREAM, this)
        attempt = next
        val leftMillis = minOf(terms.callerWaitsUntilMillis, terms.deadlineAtMillis) - nowMillis
        val attemptTerms = AttemptTerms(upstream.entry.id, copyFrom, leftMillis, progress.lastId)
        val request = upstreamRequest(received, terms, context.callerInterface.headers, attemptTerms)
        next.start(request, if (route.repeatable) Long.MAX_VALUE else FRESH_CONNECTION_MILLIS)
    }

    /** Ends the request unserved because it can't be placed. */
    fun refuse(reason: String) {
        if (ended) return
        waiting = null
        if (lifecycle.state == RequestState.STREAMING) return breakOff(reason)
        endAs((lifecycle.refused() as AfterFailure.End).end, reason)
    }

    override fun callerDisconnected() {
        callerGone = true
        val runsOnce = !route.repeatable && route.kind != RouteKind.EVENT_STREAM
        if (ended || (attempt != null && runsOnce)) return
        lifecycle.failed(FailureKind.CALLER_LEFT)
        finish("the caller left")
    }

    override fun writable(writable: Boolean) {
        attempt?.setReading(writable)
    }

    override fun streamBegan(attempt: Attempt, status: HttpResponseStatus, headers: HttpHeaders) {
        context.dispatcher.place(service)
        if (lifecycle.state == RequestState.STREAMING) return
        lifecycle.answering()
        headSent = true
        times.began(context.clock.nowMillis() - terms.arrivedAtMillis)
        context.metrics.began(terms, context.clock.nowMillis())
        caller.beginStream(status, answerHeadersToForward(headers))
    }

    override fun event(attempt: Attempt, event: StreamEvent) {
        when (progress.accept(event.id)) {
            StreamProgress.Verdict.NEXT -> caller.stream(event.bytes)
            StreamProgress.Verdict.SEEN -> event.bytes.release()
            StreamProgress.Verdict.MISSED -> {
                event.bytes.release()
                attempt.failAndClose("an event is missing before event ${event.id}")
            }
        }
    }

    override fun eventsRead(attempt: Attempt) {
        if (ended) return
        notePause(attempt)
        caller.flush()
        if (!caller.isWritable) attempt.setReading(false)
    }

    private fun notePause(attempt: Attempt) {
        val nowMillis = context.clock.nowMillis()
        val pauseMillis = times.passed(nowMillis) ?: return
        route.longestPauseMillis?.let { attempt.upstream.candidate.load.paused(nowMillis, pauseMillis, it) }
    }

    override fun streamEnded(attempt: Attempt, leftover: ByteBuf?) {
        this.attempt = null
        leftover?.let(caller::stream)
        lifecycle.completed()
        finish("answered")
        caller.endStream()
    }

    override fun answered(attempt: Attempt, answer: WholeAnswer) {
        this.attempt = null
        context.dispatcher.place(service)
        val mayImprove = route.repeatable && answer.status.code() >= FIRST_SERVER_ERROR
        if (mayImprove && lifecycle.state != RequestState.STREAMING) {
            keepFailed(answer)
            follow(lifecycle.failed(FailureKind.BROKEN_BEFORE_ANSWER), "the upstream answered ${answer.status.code()}")
            return
        }
        if (lifecycle.state == RequestState.STREAMING) {
            answer.body.release()
            follow(
                lifecycle.failed(FailureKind.BROKEN_IN_ANSWER),
                "the upstream answered ${answer.status.code()} to a resumption",
            )
            return
        }
        lifecycle.answering()
        lifecycle.completed()
        finish("answered")
        if (callerGone) answer.body.release() else reply.pass(answer)
    }

    override fun failed(attempt: Attempt, kind: FailureKind, reason: String) {
        this.attempt = null
        times.broken()
        context.log.attemptFailed(terms, attempt.upstream.entry.id, kind, reason)
        follow(lifecycle.failed(kind), reason)
    }

    private fun keepFailed(answer: WholeAnswer) {
        failedAnswer?.body?.release()
        failedAnswer = answer
    }

    private fun follow(next: AfterFailure, reason: String) {
        when {
            next is AfterFailure.End && headSent -> breakOff(reason)
            next is AfterFailure.End -> endAs(next.end, reason)
            callerGone -> finish(reason)
            else -> queue()
        }
        context.dispatcher.place(service)
    }

    private fun queue() {
        if (lifecycle.state != RequestState.STREAMING) lifecycle.queued()
        context.dispatcher.submit(this)
        val leftMillis = (waiting ?: return).giveUpAtMillis - context.clock.nowMillis()
        waitTimer = context.eventLoop.schedule(::waitOver, leftMillis.coerceAtLeast(0), TimeUnit.MILLISECONDS)
    }

    private fun waitOver() {
        context.dispatcher.place(service)
        if (waiting == null || ended) return
        context.dispatcher.withdraw(this)
        refuse("no upstream had room in time")
    }

    private fun timeOver() {
        if (ended) return
        when {
            waiting != null -> {
                context.dispatcher.withdraw(this)
                refuse("the time limit was reached while the request waited")
            }
            lifecycle.state == RequestState.STREAMING -> breakOff("the time limit was reached in the answer")
            else -> {
                attempt?.cancel()
                attempt = null
                endLate()
            }
        }
    }

    private fun endLate() = endUnanswered("the time limit was reached") {
        caller.fail(HttpResponseStatus.GATEWAY_TIMEOUT, "no answer came within the time limit")
    }

    private fun endAs(end: RequestEnd, reason: String) = endUnanswered(reason) {
        if (end == RequestEnd.NOT_RUN) {
            reply.refuse(reason)
        } else {
            caller.fail(HttpResponseStatus.BAD_GATEWAY, "the upstream failed: $reason")
        }
    }

    /** Passes on the failure that an upstream answered, where one is kept, and else tells the caller by [tell]. */
    private fun endUnanswered(reason: String, tell: () -> Unit) {
        val kept = failedAnswer
        failedAnswer = null
        finish(reason)
        when {
            callerGone -> kept?.body?.release()
            kept != null -> reply.pass(kept)
            else -> tell()
        }
    }

    /** Ends an answer that has begun so that the caller sees that it is not whole. */
    private fun breakOff(reason: String) {
        finish(reason)
        caller.abort()
    }

    private fun finish(reason: String) {
        if (ended) return
        ended = true
        context.dispatcher.withdraw(this)
        attempt?.cancel(SendOutcome.ABANDONED)
        attempt = null
        deadlineTimer?.cancel(false)
        waitTimer?.cancel(false)
        received.body.release()
        context.requestEnded(this)
        context.log.ended(
            terms,
            RequestTimes(lifecycle.state, context.clock.nowMillis() - terms.arrivedAtMillis, times),
            reason,
        )
        context.metrics.ended(terms, lifecycle.state, context.clock.nowMillis())
    }

    private companion object {
        /** Attempts beyond those that may run: upstreams that can't be reached or refuse unread cost the caller little. */
        const val UNREAD_SENDS = 3
        const val FIRST_SERVER_ERROR = 500

        /** Longest idle time of a connection on which a request goes that may run once only, in milliseconds. */
        const val FRESH_CONNECTION_MILLIS = 1_500L
    }
}
