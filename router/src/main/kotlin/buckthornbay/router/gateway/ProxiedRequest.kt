package buckthornbay.router.gateway

import buckthornbay.core.admission.DispatchedRequest
import buckthornbay.core.admission.HoldReason
import buckthornbay.core.admission.QueuedRequest
import buckthornbay.core.admission.WaitingRank
import buckthornbay.core.load.Choice
import buckthornbay.core.load.SendOutcome
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.quarantine.QuarantineVerdict
import buckthornbay.core.request.AttemptLimits
import buckthornbay.core.request.FailureAction
import buckthornbay.core.request.FailureKind
import buckthornbay.core.request.RequestLifecycle
import buckthornbay.core.request.RequestState
import buckthornbay.core.request.RetryAllowance
import buckthornbay.core.resumption.ServiceVersion
import buckthornbay.core.resumption.StreamKey
import buckthornbay.core.routing.RouteKind
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.RequestEnd
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * A caller request that is proxied: it is queued, sent to an upstream, retried or resumed after a failure, and answered.
 *
 * Every request ends exactly once, in [finish].
 */
internal class ProxiedRequest(
    private val context: GatewayContext,
    private val terms: RequestTerms,
    private val received: ReceivedRequest,
    private val caller: CallerConnection,
) : CallerWork,
    DispatchedRequest,
    AttemptListener {
    private val route = terms.route
    private val isResumable = route.kind == RouteKind.EVENT_STREAM && route.resumable
    private val lifecycle = RequestLifecycle(
        unrepeatable = !route.repeatable,
        resumable = isResumable,
        budget = RepetitionAllowance(context.access.retryBudgets.allowanceFor(terms.service)),
        limits = AttemptLimits(
            maxRuns = route.maxAttempts,
            maxSends = route.maxAttempts + EXTRA_UNPROCESSED_SENDS,
            maxResumes = route.maxAttempts - 1,
            resumesCountAsRuns = true,
            refusalsUseRetryBudget = true,
        ),
    )

    /** The [fleet]'s retry budget, for requests that are not suspected to crash the next upstream. */
    private inner class RepetitionAllowance(private val fleet: RetryAllowance) : RetryAllowance by fleet {
        override fun tryRetry(): Boolean = terms.demand?.let(context.access.crashWatch::isSuspected) != true && fleet.tryRetry()
    }

    private val reply = CallerReply(context, terms, caller)
    private val progress = StreamProgress()
    private val streamTimes = StreamTimes()

    /** The software version of the upstream that began the stream; null before that, and if the stream can't be resumed. */
    private var boundVersion: String? = null
    private var attempt: Attempt? = null
    private var failedResponse: BufferedResponse? = null
    private var deadlineTimer: ScheduledFuture<*>? = null
    private var queueTimer: ScheduledFuture<*>? = null
    private var callerConnectionClosed = false

    /** Whether the request is sent although it has a quarantined prompt part, to find out whether upstreams still crash. */
    private var isTrial = false
    private var responseStarted = false

    /** Whether the first part of the stream had a length or chunks, so that its upstream would have marked its end. */
    private var isStreamFramed = false
    private var ended = false

    override val id: String get() = terms.id
    override val service: ServiceId get() = terms.service
    override val workspaceId: WorkspaceId? get() = terms.workspace
    override val isBelowShare: Boolean get() = terms.isBelowShare
    override val homeRegions: Set<RegionId>? get() = terms.homeRegions
    override val softwareVersions: Set<String>? get() = when {
        !isResumable -> null
        else -> boundVersion?.let(::setOf) ?: context.streamVersions.forNewStreams(service)
    }
    override val demand: TokenDemand? get() = terms.demand
    override val objectiveMillis: Long? get() = route.objectiveMillis
    override val mayRetry: Boolean get() = route.repeatable

    /** Whether an upstream failed the request after it may have begun it. */
    private var failedBefore = false

    /**
     * Priority class in the queue: the highest if an earlier attempt failed, regardless of the share of the workspace. A
     * rejection changes nothing, or work beyond the share would get ahead by being rejected.
     */
    override val rank: WaitingRank get() = if (failedBefore) WaitingRank.DUE else terms.rank

    /** Upstreams to which the request was sent. */
    override val triedUpstreams = LinkedHashSet<UpstreamId>()

    override var queueEntry: QueuedRequest<DispatchedRequest>? = null
    override var heldBy: HoldReason? = null

    /** Starts the deadline timer and queues the request. */
    fun start() {
        received.memory?.handOver(::endEvicted)
        val leftMillis = terms.deadlineAtMillis - context.clock.nowMillis()
        deadlineTimer = context.eventLoop.schedule(::deadlineReached, leftMillis.coerceAtLeast(0), TimeUnit.MILLISECONDS)
        val verdict = terms.demand?.let(context.access.crashWatch::verdict) ?: QuarantineVerdict.Accepted
        isTrial = verdict == QuarantineVerdict.Trial
        when {
            verdict is QuarantineVerdict.Refused -> refuseQuarantined(verdict.part, verdict.retryAfterMillis)
            terms.resumes != null -> context.streamVersions.find(terms.resumes, service) { origin -> takeUp(origin) }
            else -> queue()
        }
    }

    /** Queues the request for an upstream of [origin], which began the stream that its caller takes up again. */
    private fun takeUp(origin: ServiceVersion?) {
        context.log.streamTakenUp(terms, origin)
        when {
            ended -> Unit
            origin == null -> refuseTakeUp("the software version that began the stream isn't known")
            origin.service != service -> refuseTakeUp("the route doesn't lead to the service that began the stream any more")
            else -> {
                boundVersion = origin.softwareVersion
                queue()
            }
        }
    }

    /** Refuses a stream that can't go on later either, so that its caller doesn't come back. */
    private fun refuseTakeUp(reason: String) =
        refuse(reason, (terms.callerDeadlineAtMillis - context.clock.nowMillis()).coerceAtLeast(0))

    /**
     * Ends the request if it has a quarantined prompt part and its response has not begun.
     *
     * An attempt in progress is cancelled, so that the upstream drops the request before it crashes.
     */
    fun endIfQuarantined() {
        if (ended || responseStarted || isTrial) return
        val part = terms.demand?.let(context.access.crashWatch::quarantinedPart) ?: return
        if (attempt == null) refuseQuarantined(part, retryAfterMillis = null) else endSending("$CRASHING_PART $part")
    }

    /** Ends the request because the host shuts down. */
    fun endForShutdown() = endEarly("this host is shutting down")

    private fun endEvicted() = endEarly("all connections together buffer too much, this one the most")

    /** Ends the request, whose caller gets an answer that is true of what has happened so far, or a broken-off stream. */
    private fun endEarly(reason: String) = when {
        ended -> Unit
        lifecycle.state == RequestState.STREAMING -> abortStream(reason)
        attempt != null -> endSending(reason)
        else -> {
            context.dispatcher.withdraw(this)
            refuse(reason)
        }
    }

    /** Cancels the attempt in progress, whose outcome then is unknown, and ends the request. */
    private fun endSending(reason: String) {
        attempt?.cancel()
        attempt = null
        lifecycle.failed(FailureKind.CALLER_LEFT)
        endWith(RequestEnd.FAILED, reason)
    }

    private fun refuseQuarantined(part: String, retryAfterMillis: Long?) {
        context.dispatcher.withdraw(this)
        endWith((lifecycle.refused() as FailureAction.End).end, "$CRASHING_PART $part", retryAfterMillis)
    }

    override fun queueUntilMillis(): Long = if (triedUpstreams.isEmpty()) {
        context.admission.policy.queueUntilMillis(route, rank, terms.arrivedAtMillis, terms.deadlineAtMillis)
    } else {
        context.admission.policy.retryQueueUntilMillis(context.clock.nowMillis(), terms.deadlineAtMillis)
    }

    override fun mayWaitForBestUpstream(nowMillis: Long): Boolean =
        nowMillis < context.admission.policy.waitForBestUntilMillis(route, terms.arrivedAtMillis)

    override fun send(choice: Choice) {
        queueTimer?.cancel(false)
        val upstream = context.access.upstreams.stateOf(choice.upstream)
        val copyFrom = choice.copyFrom?.let { context.access.upstreams.stateOf(it).entry.address }
        val resuming = lifecycle.state == RequestState.STREAMING
        if (!resuming) lifecycle.dispatched()
        val sentBefore = !triedUpstreams.add(upstream.entry.id)
        val nowMillis = context.clock.nowMillis()
        upstream.candidate.load.sent(nowMillis, id, choice.cost)
        context.metrics.recordSentTokens(terms)
        context.log.sent(terms, upstream.entry.id, choice, nowMillis - terms.arrivedAtMillis, triedUpstreams.size)
        if (resuming) progress.resumed()
        val next = Attempt(id, upstream, context, route.kind == RouteKind.EVENT_STREAM, this)
        attempt = next
        val leftMillis = minOf(terms.callerDeadlineAtMillis, terms.deadlineAtMillis) - nowMillis
        val attemptTerms = AttemptTerms(upstream.entry.id, copyFrom, leftMillis, progress.lastId)
        val request = buildUpstreamRequest(received, terms, context.callerInterface.headers, attemptTerms)
        next.start(request, connectionReuse(sentBefore))
    }

    /** All attempts have the same id, so a response written twice on the connection of an earlier one would pass for the next. */
    private fun connectionReuse(sentBefore: Boolean): ConnectionReuse = when {
        sentBefore -> ConnectionReuse.None
        route.repeatable -> ConnectionReuse.Recent(Long.MAX_VALUE)
        else -> ConnectionReuse.Recent(MAX_IDLE_FOR_NON_REPEATABLE_MILLIS)
    }

    /** Aborts the caller's connection if a stream has started. */
    override fun refuse(reason: String, retryAfterMillis: Long?) {
        if (ended) return
        queueEntry = null
        if (lifecycle.state == RequestState.STREAMING) return abortStream(reason)
        endWith((lifecycle.refused() as FailureAction.End).end, reason, retryAfterMillis)
    }

    override fun callerDisconnected() {
        callerConnectionClosed = true
        val runToCompletion = !route.repeatable && route.kind != RouteKind.EVENT_STREAM
        if (ended || (attempt != null && runToCompletion)) return
        lifecycle.failed(FailureKind.CALLER_LEFT)
        finish("the caller left")
    }

    override fun writabilityChanged(writable: Boolean) {
        attempt?.setReading(writable)
    }

    override fun streamStarted(attempt: Attempt, head: HttpResponse, isFramed: Boolean) {
        context.dispatcher.place(service)
        if (lifecycle.state == RequestState.STREAMING) return
        lifecycle.responseStarted()
        responseStarted = true
        isStreamFramed = isFramed
        if (isResumable) attempt.upstream.entry.softwareVersion?.let(::bind)
        context.metrics.recordBegunTokens(terms)
        streamTimes.recordUpstreamWait(context.clock.nowMillis() - attempt.sentAtMillis)
        streamTimes.recordFirstEvent(context.clock.nowMillis() - terms.arrivedAtMillis)
        context.metrics.recordFirstEvent(terms, context.clock.nowMillis())
        caller.beginStream(head.status(), responseHeadersToForward(head.headers()))
    }

    /** Binds the stream, which has begun, to [version], here and wherever its caller takes it up again. */
    private fun bind(version: String) {
        boundVersion = version
        val origin = ServiceVersion(service, version)
        val untilMillis = maxOf(terms.callerDeadlineAtMillis, terms.deadlineAtMillis)
        for (key in listOfNotNull(terms.resumes, StreamKey.of(workspaceId, id))) {
            context.streamVersions.begun(key, origin, untilMillis)
        }
    }

    override fun eventReceived(attempt: Attempt, event: StreamEvent) {
        when (progress.accept(event.id)) {
            StreamProgress.Verdict.NEXT -> caller.writeChunk(event.bytes)
            StreamProgress.Verdict.SEEN -> event.bytes.release()
            StreamProgress.Verdict.MISSED -> {
                event.bytes.release()
                attempt.failAndClose("an event is missing before event ${event.id}")
            }
        }
    }

    override fun eventBatchComplete(attempt: Attempt) {
        if (ended) return
        recordPause(attempt)
        caller.flush()
        if (!caller.isWritable) attempt.setReading(false)
    }

    private fun recordPause(attempt: Attempt) {
        val nowMillis = context.clock.nowMillis()
        val pauseMillis = streamTimes.recordForwardedEvents(nowMillis) ?: return
        route.longestPauseMillis?.let { attempt.upstream.candidate.load.gapObserved(nowMillis, pauseMillis, it) }
    }

    override fun streamEnded(attempt: Attempt, trailingLines: ByteBuf?, isFramed: Boolean) {
        this.attempt = null
        trailingLines?.let(caller::writeChunk)
        if (!isFramed && isStreamFramed) return abortStream("a resumption ended without marking its end")
        lifecycle.completed()
        finish("answered")
        caller.endStream()
    }

    override fun responseReceived(attempt: Attempt, answer: BufferedResponse) {
        this.attempt = null
        context.dispatcher.place(service)
        val mayRetryServerError = route.repeatable && answer.status.code() >= FIRST_SERVER_ERROR
        if (mayRetryServerError && lifecycle.state != RequestState.STREAMING) {
            failedBefore = true
            keepFailedResponse(answer)
            proceed(lifecycle.failed(FailureKind.BROKEN_BEFORE_ANSWER), "the upstream answered ${answer.status.code()}")
            return
        }
        if (lifecycle.state == RequestState.STREAMING) {
            answer.release()
            proceed(
                lifecycle.failed(FailureKind.BROKEN_IN_ANSWER),
                "the upstream answered ${answer.status.code()} to a resumption",
            )
            return
        }
        lifecycle.responseStarted()
        lifecycle.completed()
        finish("answered")
        if (callerConnectionClosed) answer.release() else reply.forward(answer)
    }

    override fun failed(attempt: Attempt, kind: FailureKind, reason: String) {
        this.attempt = null
        if (kind != FailureKind.REFUSED_UNREAD) failedBefore = true
        streamTimes.recordInterruption()
        context.metrics.attemptFailed(kind)
        context.log.attemptFailed(terms, attempt.upstream.entry.id, triedUpstreams.size, kind, reason)
        proceed(lifecycle.failed(kind), reason)
    }

    private fun keepFailedResponse(answer: BufferedResponse) {
        failedResponse?.release()
        failedResponse = answer
        answer.memory.handOver {
            failedResponse?.body?.release()
            failedResponse = null
        }
    }

    private fun proceed(next: FailureAction, reason: String) {
        when {
            next is FailureAction.End && responseStarted -> abortStream(reason)
            next is FailureAction.End -> endWith(next.end, reason)
            callerConnectionClosed -> finish(reason)
            else -> queue()
        }
        context.dispatcher.place(service)
    }

    private fun queue() {
        if (lifecycle.state != RequestState.STREAMING) lifecycle.queued()
        context.dispatcher.submit(this)
        val leftMillis = (queueEntry ?: return).queueUntilMillis - context.clock.nowMillis()
        queueTimer = context.eventLoop.schedule(::queueTimeout, leftMillis.coerceAtLeast(0), TimeUnit.MILLISECONDS)
    }

    private fun queueTimeout() {
        context.dispatcher.place(service)
        if (queueEntry == null || ended) return
        context.dispatcher.withdraw(this)
        refuse("no upstream had room in time")
    }

    private fun deadlineReached() {
        if (ended) return
        when {
            queueEntry != null -> {
                context.dispatcher.withdraw(this)
                refuse("the time limit was reached while the request waited")
            }
            lifecycle.state == RequestState.STREAMING -> abortStream("the time limit was reached in the answer")
            else -> {
                attempt?.cancel()
                attempt = null
                endAtDeadline()
            }
        }
    }

    private fun endAtDeadline() = endUnanswered("the time limit was reached") {
        caller.fail(HttpResponseStatus.GATEWAY_TIMEOUT, "no answer came within the time limit")
    }

    private fun endWith(end: RequestEnd, reason: String, retryAfterMillis: Long? = null) = endUnanswered(reason) {
        if (end == RequestEnd.NOT_RUN) {
            reply.refuse(reason, retryAfterMillis, heldBy)
        } else {
            caller.fail(HttpResponseStatus.BAD_GATEWAY, "the upstream failed: $reason")
        }
    }

    /** Ends the request with the error response of an upstream, if one was kept, and with [sendFailure] otherwise. */
    private fun endUnanswered(reason: String, sendFailure: () -> Unit) {
        val failure = failedResponse
        failedResponse = null
        finish(reason)
        when {
            callerConnectionClosed -> failure?.release()
            failure != null -> reply.forward(failure)
            else -> sendFailure()
        }
    }

    /** Breaks off the response, so that the caller sees that it is truncated. */
    private fun abortStream(reason: String) {
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
        queueTimer?.cancel(false)
        received.release()
        failedResponse?.release()
        failedResponse = null
        context.requestEnded(this)
        context.log.ended(
            terms,
            RequestTimes(lifecycle.state, context.clock.nowMillis() - terms.arrivedAtMillis, streamTimes),
            reason,
        )
        context.metrics.ended(terms, lifecycle.state, context.clock.nowMillis())
    }

    private companion object {
        /**
         * Additional sends beyond `maxAttempts`, for attempts that reached no upstream or that an upstream rejected without
         * processing them; these fail quickly.
         */
        const val EXTRA_UNPROCESSED_SENDS = 3
        const val FIRST_SERVER_ERROR = 500

        /** Reason of an end, followed by the quarantined prompt part. */
        const val CRASHING_PART = "upstreams crash under prompt part"

        /**
         * Longest idle time of a pooled connection that carries a non-repeatable request, in milliseconds. The upstream may be
         * about to close a connection that has been idle for longer.
         */
        const val MAX_IDLE_FOR_NON_REPEATABLE_MILLIS = 1_500L
    }
}
