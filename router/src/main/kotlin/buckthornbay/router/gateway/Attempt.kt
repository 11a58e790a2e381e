package buckthornbay.router.gateway

import buckthornbay.core.admission.BufferBudget
import buckthornbay.core.load.LoadReport
import buckthornbay.core.load.SendOutcome
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.request.ConnectionEnd
import buckthornbay.core.request.FailureKind
import buckthornbay.core.request.Reachability
import buckthornbay.core.request.ResponseEnd
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import java.util.concurrent.TimeUnit

/**
 * A complete response that is not an event stream. The receiver must [release] it, or its [body] and its [memory].
 *
 * @property memory what the body holds of the memory for buffers.
 */
internal class BufferedResponse(
    val status: HttpResponseStatus,
    val headers: HttpHeaders,
    val body: ByteBuf,
    val memory: BufferBudget.Share,
) {
    fun release() {
        body.release()
        memory.release()
    }
}

/** A listener for the progress and the result of an [Attempt]. */
internal interface AttemptListener {
    /** Whether the request may be sent to another upstream after a failed attempt. */
    val mayRetry: Boolean

    /** Tokens that the request asks an engine for; null for plain services. */
    val demand: TokenDemand?

    /** Latency objective of the request, in milliseconds; null if there is none. */
    val objectiveMillis: Long?

    /**
     * Called before the first event of a stream, with the head of the response.
     *
     * [isFramed] tells whether the response has a length or chunks; otherwise only the end of the connection ends it.
     */
    fun streamStarted(attempt: Attempt, head: HttpResponse, isFramed: Boolean)

    /** Called for each complete event. The listener must release its bytes. */
    fun eventReceived(attempt: Attempt, event: StreamEvent)

    /** Called after all events of one read from the socket. */
    fun eventBatchComplete(attempt: Attempt)

    /**
     * Called when the upstream ended the stream regularly; [isFramed] as in [streamStarted]. [trailingLines] are blank lines
     * after the last event, if any.
     */
    fun streamEnded(attempt: Attempt, trailingLines: ByteBuf?, isFramed: Boolean)

    /** Called when a response that is not an event stream arrived completely. */
    fun responseReceived(attempt: Attempt, answer: BufferedResponse)

    /** Called when the attempt failed. */
    fun failed(attempt: Attempt, kind: FailureKind, reason: String)
}

/** One attempt to serve a request at one upstream, from acquiring a connection to the end of the response. */
internal class Attempt(
    val id: String,
    val upstream: UpstreamState,
    private val context: GatewayContext,
    private val expectsEventStream: Boolean,
    private val listener: AttemptListener,
) : ResponseListener {
    private var connection: HttpConnection? = null
    private var response: HttpResponse? = null
    private var body: ByteBuf? = null
    private val memory = context.buffers.share { failAndClose("all connections together buffer too much, this one the most") }
    private var framing: EventStreamFraming? = null
    private var streaming = false
    private var ended = false
    private var incompleteEventSinceMillis: Long? = null
    private var firstEventAtMillis = 0L
    private var proven = false
    private var isHandedOver = false

    /** Whether the request may be sent to another upstream when this attempt fails. */
    val mayRetry: Boolean get() = listener.mayRetry
    val sentAtMillis: Long = context.clock.nowMillis()

    /** Sends [request] on a connection that [reuse] admits. */
    fun start(request: FullHttpRequest, reuse: ConnectionReuse) {
        upstream.attempts += this
        context.access.connections.acquire(upstream.entry.address, reuse) { result ->
            when {
                ended -> {
                    request.release()
                    (result as? ConnectResult.Open)?.connection?.abort()
                }
                result is ConnectResult.Open -> {
                    if (!result.reused) context.metrics.connectionOpened()
                    connection = result.connection
                    result.connection.send(request, this)
                }
                result is ConnectResult.Failed -> {
                    request.release()
                    if (result.isRefused) context.access.limits.startPace.failed(context.clock.nowMillis(), upstream.entry)
                    fail(FailureKind.NOT_CONNECTED, SendOutcome.UNREACHABLE, result.reason)
                }
            }
        }
    }

    /** Ends the attempt without calling the listener, and closes the connection so that the upstream can stop its work. */
    fun cancel(outcome: SendOutcome = SendOutcome.ABANDONED) {
        if (ended) return
        end(outcome)
        connection?.abort()
        connection = null
    }

    /** Closes the connection and reports the attempt as failed, for example when the upstream sends no data any more. */
    fun failAndClose(reason: String) {
        if (ended) return
        val toClose = connection
        connection = null
        toClose?.abort()
        failBroken(reason)
    }

    /** Returns whether bytes have been coming for [millis] milliseconds that complete neither a response head nor an event. */
    fun isStalledFor(millis: Long): Boolean {
        val sinceMillis = incompleteEventSinceMillis ?: connection?.incompleteHeadSinceMillis ?: return false
        return context.clock.nowMillis() - sinceMillis >= millis
    }

    /** Pauses or resumes reading of the response, for back-pressure. */
    fun setReading(reading: Boolean) {
        if (!reading) incompleteEventSinceMillis = null
        connection?.setReading(reading)
    }

    override fun head(response: HttpResponse): Boolean {
        upstream.recordActivity()
        val echoed = response.headers()[context.callerInterface.headers.attemptId]
        if (echoed == id) {
            begin(response)
            return true
        }
        if (echoed != null) {
            context.log.lateAnswer(id, upstream.entry.id, echoed)
        } else {
            // The upstream may have written it for an earlier request on this connection, also one that it rejected.
            failAndClose("the answer ${response.status().code()} doesn't say to which request it belongs")
        }
        return false
    }

    private fun begin(response: HttpResponse) {
        this.response = response
        if (response.status().code() != MISDIRECTED_REQUEST) {
            context.access.limits.stated.responseStarted(
                upstream.entry,
                id,
                response.headers(),
                genuine = isFromUpstream(response),
            )
            context.access.notices.responseStarted(upstream.entry, id, response)
        }
        if (expectsEventStream && isEventStream(response)) framing = EventStreamFraming(context.allocator)
    }

    private fun isEventStream(response: HttpResponse): Boolean {
        val type = response.headers()[HttpHeaderNames.CONTENT_TYPE]
        val isEvents = type?.startsWith(EVENT_STREAM) ?: !HttpUtil.isContentLengthSet(response)
        return isEvents && response.status() == HttpResponseStatus.OK && isFromUpstream(response)
    }

    override fun content(bytes: ByteBuf) {
        upstream.recordActivity()
        val framing = framing
        if (framing != null) {
            framing.feed(bytes, ::forwardEvent)
            checkIncompleteEvent(framing)
            if (!ended) memory.resize(framing.bufferedBytes.toLong())
            return
        }
        if ((body?.readableBytes() ?: 0) + bytes.readableBytes() > MAX_BODY_BYTES) {
            return failAndClose("the response body is longer than $MAX_BODY_BYTES bytes")
        }
        // A copy, since the small part of a read that belongs to the body would keep the whole read in memory.
        val buffered = body ?: context.allocator.buffer(bytes.readableBytes()).also { body = it }
        buffered.writeBytes(bytes)
        memory.resize(buffered.capacity().toLong())
    }

    private fun checkIncompleteEvent(framing: EventStreamFraming) {
        val incompleteBytes = framing.incompleteBytes
        if (incompleteBytes > MAX_EVENT_BYTES) return failAndClose("an event is longer than $MAX_EVENT_BYTES bytes")
        if (incompleteBytes > 0 && incompleteEventSinceMillis == null) incompleteEventSinceMillis = context.clock.nowMillis()
    }

    override fun readComplete() {
        if (streaming && !ended) listener.eventBatchComplete(this)
    }

    override fun complete(withConnection: Boolean) {
        connection = null
        upstream.recordActivity()
        if (framing != null) completeStream(withConnection) else completeBuffered(withConnection)
    }

    override fun invalid(reason: String) {
        if (!ended) context.metrics.responseInvalid()
        broken(reason)
    }

    override fun broken(reason: String) {
        if (!ended && response != null) upstream.recordBreak()
        if (!ended && !proven) {
            listener.demand?.let { context.access.crashWatch.connectionLost(upstream.entry, it, sentAtMillis) }
        }
        failBroken(reason)
    }

    private fun failBroken(reason: String) {
        connection = null
        val kind = if (streaming) FailureKind.BROKEN_IN_ANSWER else FailureKind.BROKEN_BEFORE_ANSWER
        fail(kind, SendOutcome.FAILED, reason)
    }

    private fun forwardEvent(event: StreamEvent) {
        if (ended) {
            event.bytes.release()
            return
        }
        incompleteEventSinceMillis = null
        if (!streaming) startStream()
        if (context.clock.nowMillis() - firstEventAtMillis >= PROOF_MILLIS) recordProof()
        listener.eventReceived(this, event)
    }

    private fun startStream() {
        val head = checkNotNull(response) { "an event arrived before the response headers" }
        streaming = true
        firstEventAtMillis = context.clock.nowMillis()
        recordLoad(head)
        listener.streamStarted(this, head, hasOwnEnd())
    }

    private fun completeStream(withConnection: Boolean) {
        if (!streaming && !hasOwnEnd()) return broken("the connection was closed before the first event")
        if (framing?.endsWithinEvent == true) return broken("the stream ended within an event")
        if (!streaming) startStream()
        verifyEnd(withConnection, ::endStream)
    }

    private fun endStream() {
        if (ended) return
        recordProof()
        val trailingLines = framing?.takeRest()
        end(SendOutcome.ANSWERED)
        listener.streamEnded(this, trailingLines, hasOwnEnd())
    }

    /** Calls [onComplete], unless only the end of the connection ends the response and [ConnectionEnd] says that it broke off. */
    private fun verifyEnd(withConnection: Boolean, onComplete: () -> Unit) {
        if (!withConnection || hasOwnEnd()) return onComplete()
        incompleteEventSinceMillis = null
        val endedAtMillis = context.clock.nowMillis()
        var decided = false
        val decide = { reachability: Reachability ->
            if (!ended && !decided) {
                decided = true
                decideEnd(endedAtMillis, reachability, onComplete)
            }
        }
        context.access.probe.check(upstream.entry, decide)
        context.eventLoop.schedule({ decide(Reachability.UNKNOWN) }, ConnectionEnd.MAX_CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun decideEnd(endedAtMillis: Long, reachability: Reachability, onComplete: () -> Unit) {
        val registry = context.access.registry
        val nowMillis = context.clock.nowMillis()
        val connectionEnd = ConnectionEnd(
            endedAtMillis,
            reachability,
            nowMillis,
            registry.isLeaving(nowMillis, upstream.entry),
            registry.hasRestarted(upstream.entry),
            upstream.breaksAtMillis,
        )
        val decision = connectionEnd.decide()
        context.log.responseEnd(id, upstream.entry.id, connectionEnd, decision)
        context.metrics.responseEnded(decision.end)
        when (decision.end) {
            ResponseEnd.BROKEN_OFF -> broken(decision.reason)
            ResponseEnd.UNMARKED -> onComplete()
        }
    }

    private fun completeBuffered(withConnection: Boolean) {
        val head = checkNotNull(response) { "the response body ended without response headers" }
        recordLoad(head)
        val status = head.status()
        val names = context.callerInterface.headers
        val notRun = head.headers().contains(names.notRun) || status.code() == MISDIRECTED_REQUEST
        when {
            notRun -> fail(FailureKind.REFUSED_UNREAD, SendOutcome.REFUSED, "the upstream answered ${status.code()} unread")
            !isFromUpstream(head) && status.code() < FIRST_ERROR ->
                fail(
                    FailureKind.BROKEN_BEFORE_ANSWER,
                    SendOutcome.FAILED,
                    "the answer ${status.code()} is not the upstream's own",
                )
            else -> verifyEnd(withConnection) {
                if (status.code() in SUCCESS) recordProof()
                deliver(head)
            }
        }
    }

    private fun deliver(head: HttpResponse) {
        val status = head.status()
        val answer = BufferedResponse(status, head.headers(), body ?: Unpooled.EMPTY_BUFFER, memory)
        body = null
        isHandedOver = true
        end(if (status.code() >= FIRST_SERVER_ERROR) SendOutcome.FAILED else SendOutcome.ANSWERED)
        listener.responseReceived(this, answer)
    }

    /**
     * Returns whether a successful response comes from the upstream itself, unchanged by an intermediary: it must carry the
     * upstream's signature and the attempt id, which [head] compares, and must have no content encoding.
     */
    private fun isFromUpstream(head: HttpResponse): Boolean {
        val names = context.callerInterface.headers
        val headers = head.headers()
        return headers.contains(names.responseSignature) &&
            headers.contains(names.attemptId) &&
            !headers.contains(HttpHeaderNames.CONTENT_ENCODING)
    }

    /** Returns whether the response has a length or chunks, so that its end can't be confused with that of the connection. */
    private fun hasOwnEnd(): Boolean =
        response?.let { HttpUtil.isTransferEncodingChunked(it) || HttpUtil.isContentLengthSet(it) } == true

    /** Records that the upstream survived the beginning of this response. */
    private fun recordProof() {
        if (proven) return
        proven = true
        listener.demand?.let { context.access.crashWatch.answered(id, it) }
    }

    private fun recordLoad(head: HttpResponse) {
        val report: LoadReport? = head.headers()[context.callerInterface.headers.load]?.let(context.callerInterface::loadReport)
        val nowMillis = context.clock.nowMillis()
        val inTime = listener.objectiveMillis?.let { nowMillis - sentAtMillis <= it } != false
        context.access.limits.startPace.answered(nowMillis, upstream.entry, inTime)
        upstream.candidate.load.responseStarted(nowMillis, id, report)
        context.dispatcher.responseStarted(id)
        if (listener.demand != null) context.metrics.engineBegan(upstream.entry.service, nowMillis - sentAtMillis)
    }

    private fun fail(kind: FailureKind, outcome: SendOutcome, reason: String) {
        if (ended) return
        end(outcome)
        listener.failed(this, kind, reason)
    }

    private fun end(outcome: SendOutcome) {
        ended = true
        framing?.release()
        body?.release()
        body = null
        if (!isHandedOver) memory.release()
        upstream.ended(this, outcome)
        context.dispatcher.attemptEnded(id, outcome)
    }

    private companion object {
        const val EVENT_STREAM = "text/event-stream"
        const val MISDIRECTED_REQUEST = 421
        val SUCCESS = 200..299
        const val FIRST_ERROR = 400
        const val FIRST_SERVER_ERROR = 500

        /**
         * Time after the first event after which a crash is no longer attributed to the request, in milliseconds; an engine that
         * a prompt crashes ends when it begins to answer.
         */
        const val PROOF_MILLIS = 200L

        /** Largest buffered response body, in bytes; as large as the largest request body by default. */
        const val MAX_BODY_BYTES = 4_194_304

        /** Largest event of a stream, in bytes; an event holds a few output tokens. */
        const val MAX_EVENT_BYTES = 1_048_576
    }
}
