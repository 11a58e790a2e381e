package buckthornbay.router.gateway

import buckthornbay.core.load.LoadReport
import buckthornbay.core.load.SendOutcome
import buckthornbay.core.request.FailureKind
import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/** A whole answer that is no stream; [body] belongs to whoever takes it. */
internal class WholeAnswer(val status: HttpResponseStatus, val headers: HttpHeaders, val body: ByteBuf)

/** What a request hears of its attempt. */
internal interface AttemptListener {
    /** Whether the request may go on elsewhere when an attempt is given up. */
    val mayRetry: Boolean

    /** The first whole event of a stream is about to be passed on; [headers] are the upstream's. */
    fun streamBegan(attempt: Attempt, status: HttpResponseStatus, headers: HttpHeaders)

    /** A whole event arrived. */
    fun event(attempt: Attempt, event: StreamEvent)

    /** All events that arrived together were passed on. */
    fun eventsRead(attempt: Attempt)

    /** The stream ended as its upstream meant it; [leftover] came after the last whole event. */
    fun streamEnded(attempt: Attempt, leftover: ByteBuf?)

    /** An answer that is no stream arrived whole. */
    fun answered(attempt: Attempt, answer: WholeAnswer)

    /** The attempt failed in a way that [kind] tells. */
    fun failed(attempt: Attempt, kind: FailureKind, reason: String)
}

/** One sending of a request to one upstream, from the wish for a connection to the end of the answer. */
internal class Attempt(
    val id: String,
    val upstream: UpstreamState,
    private val context: GatewayContext,
    private val expectsEvents: Boolean,
    private val listener: AttemptListener,
) : AnswerListener {
    private var connection: HttpConnection? = null
    private var response: HttpResponse? = null
    private var body: CompositeByteBuf? = null
    private var framing: EventStreamFraming? = null
    private var began = false
    private var ended = false

    /** Whether the request may go on elsewhere when this attempt is given up. */
    val mayRetry: Boolean get() = listener.mayRetry
    val sentAtMillis: Long = context.clock.nowMillis()

    /** Sends [request] on a connection that was idle for [maxIdleMillis] at most. */
    fun start(request: FullHttpRequest, maxIdleMillis: Long) {
        upstream.attempts += this
        context.connections.acquire(upstream.entry.address, maxIdleMillis) { connected ->
            when {
                ended -> {
                    request.release()
                    (connected as? Connected.Open)?.connection?.abort()
                }
                connected is Connected.Open -> {
                    if (!connected.reused) context.metrics.connectionOpened()
                    connection = connected.connection
                    connected.connection.send(request, this)
                }
                connected is Connected.Failed -> {
                    request.release()
                    fail(FailureKind.NOT_CONNECTED, SendOutcome.UNREACHABLE, connected.reason)
                }
            }
        }
    }

    /** Ends the attempt because nobody waits for it any more; the upstream sees its connection close. */
    fun cancel(outcome: SendOutcome = SendOutcome.ABANDONED) {
        if (ended) return
        end(outcome)
        connection?.abort()
        connection = null
    }

    /** Gives the attempt up because its upstream fell silent. */
    fun failAndClose(reason: String) {
        if (ended) return
        val toClose = connection
        connection = null
        toClose?.abort()
        broken(reason)
    }

    /** Stops or resumes reading of the answer. */
    fun setReading(reading: Boolean) {
        connection?.setReading(reading)
    }

    override fun head(response: HttpResponse): Boolean {
        upstream.heard()
        val echoed = response.headers()[context.callerInterface.headers.attemptId]
        if (echoed != null && echoed != id) {
            context.log.lateAnswer(id, upstream.entry.id, echoed)
            return false
        }
        this.response = response
        if (expectsEvents && isEventStream(response)) framing = EventStreamFraming(context.allocator)
        return true
    }

    private fun isEventStream(response: HttpResponse): Boolean {
        val type = response.headers()[HttpHeaderNames.CONTENT_TYPE]
        val isEvents = type == null || type.startsWith(EVENT_STREAM)
        return isEvents && response.status() == HttpResponseStatus.OK && isGenuine(response)
    }

    override fun content(bytes: ByteBuf) {
        upstream.heard()
        val framing = framing
        if (framing != null) {
            framing.feed(bytes, ::passEvent)
            return
        }
        val whole = body ?: context.allocator.compositeBuffer(MAX_BODY_PIECES).also { body = it }
        whole.addComponent(true, bytes.retain())
    }

    override fun readComplete() {
        if (began && !ended) listener.eventsRead(this)
    }

    override fun complete() {
        connection = null
        upstream.heard()
        if (framing != null) completeStream() else completeWhole()
    }

    override fun broken(reason: String) {
        connection = null
        val kind = if (began) FailureKind.BROKEN_IN_ANSWER else FailureKind.BROKEN_BEFORE_ANSWER
        fail(kind, SendOutcome.FAILED, reason)
    }

    private fun passEvent(event: StreamEvent) {
        if (ended) {
            event.bytes.release()
            return
        }
        if (!began) begin()
        listener.event(this, event)
    }

    private fun begin() {
        val head = checkNotNull(response) { "a stream begins with a head" }
        began = true
        noteLoad(head)
        listener.streamBegan(this, head.status(), head.headers())
    }

    private fun completeStream() {
        if (!began) begin()
        if (ended) return
        val leftover = framing?.takeLeftover()
        end(SendOutcome.ANSWERED)
        listener.streamEnded(this, leftover)
    }

    private fun completeWhole() {
        val head = checkNotNull(response) { "an answer has a head" }
        noteLoad(head)
        val status = head.status()
        val notRun = head.headers().contains(context.callerInterface.headers.notRun) || status.code() == MISDIRECTED
        when {
            notRun -> fail(FailureKind.REFUSED_UNREAD, SendOutcome.REFUSED, "the upstream answered ${status.code()} unread")
            !isGenuine(head) && status.code() < FIRST_ERROR ->
                fail(
                    FailureKind.BROKEN_BEFORE_ANSWER,
                    SendOutcome.FAILED,
                    "the answer ${status.code()} is not the upstream's own",
                )
            else -> {
                val answer = WholeAnswer(status, head.headers(), body ?: Unpooled.EMPTY_BUFFER)
                body = null
                end(if (status.code() >= FIRST_SERVER_ERROR) SendOutcome.FAILED else SendOutcome.ANSWERED)
                listener.answered(this, answer)
            }
        }
    }

    /**
     * A success must carry the upstream's signature and this attempt's id, and the bytes must be as the upstream sent them.
     */
    private fun isGenuine(head: HttpResponse): Boolean {
        val names = context.callerInterface.headers
        val headers = head.headers()
        return headers.contains(names.answerSignature) &&
            headers.contains(names.attemptId) &&
            !headers.contains(HttpHeaderNames.CONTENT_ENCODING)
    }

    private fun noteLoad(head: HttpResponse) {
        val report: LoadReport? = head.headers()[context.callerInterface.headers.load]?.let(context.callerInterface::loadReport)
        upstream.candidate.load.began(context.clock.nowMillis(), id, report)
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
        upstream.ended(this, outcome)
    }

    private companion object {
        const val EVENT_STREAM = "text/event-stream"
        const val MISDIRECTED = 421
        const val FIRST_ERROR = 400
        const val FIRST_SERVER_ERROR = 500
        const val MAX_BODY_PIECES = 4_096
    }
}
