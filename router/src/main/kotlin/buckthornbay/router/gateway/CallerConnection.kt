package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.BufferBudget
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException

private val logger = KotlinLogging.logger {}

/**
 * The server side of a caller's HTTP connection, which handles pipelined requests one at a time and answers them in order.
 *
 * A malformed request is answered with an error and the connection is closed, so that the bytes after it can't be parsed as
 * another request (request smuggling).
 */
internal class CallerConnection(
    private val handler: RequestHandler,
    private val clock: Clock,
    private val codec: StrictServerCodec,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val pending = ArrayDeque<HttpObject>()
    private var head: HttpRequest? = null
    private var body: ByteBuf? = null

    /** What the request that is being received holds, and the bytes that are not decoded yet. */
    private var requestMemory: BufferBudget.Share? = null
    private val undecodedMemory = handler.buffers.share(::evictUndecoded)
    private var headCostBytes = 0L

    /** Arrival time of the head of a request whose body is incomplete, in milliseconds. */
    private var headReadAtMillis = 0L
    private var work: CallerWork? = null
    private var keepAlive = true
    private var closing = false
    private var streaming = false

    /** Time of the last read or response, in milliseconds. */
    var activeAtMillis = clock.nowMillis()
        private set

    /** Arrival time of the first byte of an incomplete request head, in milliseconds; null if there is none. */
    private var headStartedAtMillis: Long? = null

    val isBusy: Boolean get() = work != null || head != null

    val isWritable: Boolean get() = context.channel().isWritable

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        handler.connections += this
        ctx.fireChannelActive()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        handler.connections -= this
        closing = true
        work?.callerDisconnected()
        work = null
        releaseAll()
        ctx.fireChannelInactive()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        activeAtMillis = clock.nowMillis()
        when {
            closing || msg !is HttpObject -> ReferenceCountUtil.release(msg)
            work != null || !isWritable -> enqueue(msg)
            else -> process(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (!closing) undecodedMemory.resize(codec.undecodedBytes.toLong())
        ctx.fireChannelReadComplete()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        work?.writabilityChanged(ctx.channel().isWritable)
        if (work == null && ctx.channel().isWritable && !closing) continueReading()
        ctx.fireChannelWritabilityChanged()
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    /** Records the arrival of bytes, before they are parsed, to time the request head. */
    fun bytesArrived() {
        if (headStartedAtMillis == null && head == null && work == null) headStartedAtMillis = clock.nowMillis()
    }

    /** Closes the connection if the head or the body of a request is overdue, or if it was idle for too long. */
    fun closeIfTimedOut(nowMillis: Long) {
        if (work != null) return
        val limits = handler.limits
        val headStartedMillis = headStartedAtMillis
        when {
            head != null -> if (nowMillis - activeAtMillis > limits.idleTimeoutMillis || isBodyOverdue(nowMillis)) {
                reject(REQUEST_TIMEOUT, "the body did not arrive in time")
            }
            headStartedMillis != null -> if (nowMillis - headStartedMillis >
                limits.headerTimeoutMillis
            ) {
                reject(REQUEST_TIMEOUT, "the head did not arrive in time")
            }
            nowMillis - activeAtMillis > limits.idleTimeoutMillis -> close()
        }
    }

    private fun isBodyOverdue(nowMillis: Long): Boolean =
        nowMillis - headReadAtMillis > maxOf(MIN_BODY_TIMEOUT_MILLIS, BODY_IDLE_TIMEOUTS * handler.limits.idleTimeoutMillis)

    /** Returns whether no request is in progress, has partly arrived or may be on its way. */
    fun isIdle(nowMillis: Long): Boolean =
        !isBusy && headStartedAtMillis == null && nowMillis - activeAtMillis >= REQUEST_ARRIVAL_MILLIS

    /** Closes the connection if it [isIdle]. */
    fun closeIfIdle(nowMillis: Long) {
        if (isIdle(nowMillis)) close()
    }

    /** Closes the connection at once, so that the caller recognises a partial response as truncated. */
    fun abort() {
        work = null
        close()
    }

    /**
     * Sends a complete response. [headers] must not contain connection-specific headers. Returns the future of the write.
     *
     * The response gets a length even if it came without one: the operating system closes the connections of a process that
     * ends in the regular way, which would look like the end of a response without a length.
     */
    fun answer(status: HttpResponseStatus, headers: HttpHeaders?, body: ByteBuf): ChannelFuture {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        headers?.let { response.headers().add(it) }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        return finish(response)
    }

    /** Sends an error response of the router itself. */
    fun fail(status: HttpResponseStatus, message: String, retryAfterSeconds: String? = null) {
        val body = Unpooled.copiedBuffer(handler.errorBody(message), Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        retryAfterSeconds?.let { response.headers().set(HttpHeaderNames.RETRY_AFTER, it) }
        finish(response)
    }

    /**
     * Starts a response whose length is not known in advance. It is sent in chunks, also if it came without, for the reason that
     * [answer] gives.
     */
    fun beginStream(status: HttpResponseStatus, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().add(headers)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        setConnectionHeader(response.headers())
        streaming = true
        write(response)
    }

    /** Writes a chunk of the response that [beginStream] started, without flushing it. */
    fun writeChunk(bytes: ByteBuf) {
        write(DefaultHttpContent(bytes))
    }

    /** Flushes the chunks written so far. */
    fun flush() {
        context.flush()
    }

    /** Ends the response that [beginStream] started. */
    fun endStream() {
        val written = write(LastHttpContent.EMPTY_LAST_CONTENT)
        context.flush()
        streaming = false
        responseWritten(written)
    }

    private fun finish(response: DefaultFullHttpResponse): ChannelFuture {
        setConnectionHeader(response.headers())
        val written = write(response)
        context.flush()
        responseWritten(written)
        return written
    }

    /** Writes [part] of a response; if that fails, nothing of the response may follow. A lost connection closes by itself. */
    private fun write(part: HttpObject): ChannelFuture = context.write(part).addListener(
        ChannelFutureListener { future ->
            val cause = future.cause()
            if (cause != null && cause !is IOException && !closing) writeFailed(cause)
        },
    )

    private fun writeFailed(cause: Throwable) {
        logger.warn { "event=write_failed reason=\"$cause\"" }
        abandonWork()
    }

    /** Closes the connection and ends the request in progress as if its caller had left. */
    private fun abandonWork() {
        val abandoned = work
        abort()
        abandoned?.callerDisconnected()
    }

    private fun setConnectionHeader(headers: HttpHeaders) {
        keepAlive = keepAlive && !handler.closing && !handler.shedsConnections
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun responseWritten(written: ChannelFuture) {
        work = null
        head = null
        activeAtMillis = clock.nowMillis()
        if (!keepAlive) {
            closing = true
            written.addListener(ChannelFutureListener.CLOSE)
            return
        }
        continueReading()
    }

    /** Handles what was sent ahead, as far as the caller reads the responses. */
    private fun continueReading() {
        while (mayProcess() && pending.isNotEmpty()) process(pending.removeFirst())
        if (!mayProcess()) return
        context.channel().config().isAutoRead = true
        // Makes the decoder go on with bytes that it has left undecoded.
        if (codec.undecodedBytes > 0) context.executor().execute { if (!closing) decodeRest() }
    }

    private fun mayProcess(): Boolean = work == null && !closing && isWritable

    private fun decodeRest() {
        context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER)
        context.pipeline().fireChannelReadComplete()
    }

    private fun enqueue(message: HttpObject) {
        pending.addLast(message)
        if (pending.size >= MAX_PENDING) context.channel().config().isAutoRead = false
    }

    private fun process(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) return rejectMalformed(message.decoderResult().cause())
            if (message is HttpRequest) processHead(message)
            if (message is HttpContent && head != null && !closing) processBody(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun processHead(request: HttpRequest) {
        headStartedAtMillis = null
        headReadAtMillis = clock.nowMillis()
        head = request
        headCostBytes = costOf(request)
        val memory = handler.buffers.share(::evictRequest).also { requestMemory = it }
        memory.resize(headCostBytes)
        if (closing) return
        keepAlive = HttpUtil.isKeepAlive(request)
        val problem = problemOf(request)
        if (problem != null) return reject(problem.status, problem.message)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
            )
        }
    }

    private fun processBody(content: HttpContent) {
        val isAccepted = !content.content().isReadable || append(content.content())
        if (isAccepted && content is LastHttpContent) dispatch()
    }

    /** Appends [bytes] to the body; returns false if the request was rejected because of its size. */
    private fun append(bytes: ByteBuf): Boolean {
        val buffer = body ?: context.alloc().buffer(maxOf(bytes.readableBytes(), INITIAL_BODY_CAPACITY)).also { body = it }
        if (buffer.readableBytes() + bytes.readableBytes() > handler.limits.maxBodyBytes) {
            reject(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body may have ${handler.limits.maxBodyBytes} bytes at most",
            )
            return false
        }
        buffer.writeBytes(bytes)
        requestMemory?.resize(headCostBytes + buffer.capacity())
        return body != null
    }

    /** Returns about what a decoded [request] takes in memory: many times its bytes if it has many short fields. */
    private fun costOf(request: HttpRequest): Long {
        var characters = request.uri().length.toLong()
        request.headers().iteratorCharSequence().forEach { characters += it.key.length + it.value.length }
        return characters + request.headers().size() * FIELD_COST_BYTES
    }

    /**
     * Schedules the request on the event loop instead of handling it directly. On a busy host, a request and the close of its
     * connection can be read in the same pass; the request of a caller that has disconnected is then dropped.
     */
    private fun dispatch() {
        val request = checkNotNull(head) { "a request body arrived without a request head" }
        val received = ReceivedRequest(
            request.method().name(),
            request.uri(),
            request.headers(),
            body ?: Unpooled.EMPTY_BUFFER,
            requestMemory,
        )
        body = null
        requestMemory = null
        val requestDispatch = RequestDispatch(received)
        received.memory?.handOver(requestDispatch::evicted)
        work = requestDispatch
        context.executor().execute(requestDispatch)
    }

    private inner class RequestDispatch(private val request: ReceivedRequest) :
        CallerWork,
        Runnable {
        private var isHandled = false

        override fun run() {
            if (work !== this || !context.channel().isActive) return
            isHandled = true
            val startedWork = handler.handle(request, this@CallerConnection)
            if (work === this) work = startedWork
        }

        fun evicted() {
            if (work !== this) return
            work = null
            request.release()
            evictRequest()
        }

        override fun callerDisconnected() {
            if (!isHandled) request.release()
        }
    }

    /** A response in progress must not be followed by another one for bytes that came after its request. */
    private fun evictUndecoded() = if (work != null || streaming) abandonWork() else evictRequest()

    private fun evictRequest() = reject(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        "not run: all connections together buffer too much, this one the most",
        OVERLOAD_RETRY_S,
    )

    private fun rejectMalformed(cause: Throwable) {
        val problem = malformedProblem(cause)
        reject(problem.status, problem.message)
    }

    private fun reject(status: HttpResponseStatus, message: String, retryAfterSeconds: String? = null) {
        if (closing) return
        handler.invalidRequest(status.code(), message)
        keepAlive = false
        releaseAll()
        fail(status, message, retryAfterSeconds)
    }

    private fun releaseAll() {
        body?.release()
        body = null
        requestMemory?.release()
        requestMemory = null
        undecodedMemory.release()
        pending.forEach { ReferenceCountUtil.release(it) }
        pending.clear()
    }

    private fun close() {
        closing = true
        context.close()
    }

    private companion object {
        val REQUEST_TIMEOUT: HttpResponseStatus = HttpResponseStatus.REQUEST_TIMEOUT

        /** Maximum number of parsed messages of pipelined requests queued behind the current one; reading stops at this limit. */
        const val MAX_PENDING = 64
        const val INITIAL_BODY_CAPACITY = 256

        /** Memory of a field of a decoded head beside its characters, in bytes: an entry of a map and two strings. */
        const val FIELD_COST_BYTES = 160L

        /**
         * Time for the whole body of a request, in idle timeouts and at least in milliseconds; a caller that sends a byte now and
         * then would hold its connection for ever.
         */
        const val BODY_IDLE_TIMEOUTS = 4L
        const val MIN_BODY_TIMEOUT_MILLIS = 60_000L

        /** Retry-After of a host that buffers too much, in seconds; about the time that a long body takes. */
        const val OVERLOAD_RETRY_S = "0.5"

        /**
         * Time after a connection was accepted or used in which its caller may have sent a request that has not arrived yet, in
         * milliseconds: some round trips between regions.
         */
        const val REQUEST_ARRIVAL_MILLIS = 250L
    }
}
