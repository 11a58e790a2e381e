package buckthornbay.router.gateway

import buckthornbay.core.Clock
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
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

/**
 * A caller's connection: it reads one request after another, and writes the answers in the same order.
 *
 * What is no proper request is answered with an error and the connection is closed, so that nothing after it can be taken for
 * a request.
 */
internal class CallerConnection(private val handler: RequestHandler, private val clock: Clock) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val pending = ArrayDeque<HttpObject>()
    private var head: HttpRequest? = null
    private var body: ByteBuf? = null
    private var work: CallerWork? = null
    private var keepAlive = true
    private var closing = false
    private var streaming = false

    /** When something last arrived or was answered, in milliseconds. */
    private var activeAtMillis = clock.nowMillis()

    /** When the first byte of a head arrived that is not whole yet, in milliseconds. */
    private var headBegunAtMillis: Long? = null

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
            work != null -> hold(msg)
            else -> take(msg)
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        work?.writable(ctx.channel().isWritable)
        ctx.fireChannelWritabilityChanged()
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    /** Notes that bytes arrived, before they were parsed. */
    fun bytesArrived() {
        if (headBegunAtMillis == null && head == null && work == null) headBegunAtMillis = clock.nowMillis()
    }

    /** Closes the connection if the caller is too slow or does not use it. */
    fun closeIfTimedOut(nowMillis: Long) {
        if (work != null) return
        val limits = handler.limits
        val begun = headBegunAtMillis
        when {
            head != null -> if (nowMillis - activeAtMillis >
                limits.idleTimeoutMillis
            ) {
                reject(REQUEST_TIMEOUT, "the body did not arrive in time")
            }
            begun != null -> if (nowMillis - begun >
                limits.headerTimeoutMillis
            ) {
                reject(REQUEST_TIMEOUT, "the head did not arrive in time")
            }
            nowMillis - activeAtMillis > limits.idleTimeoutMillis -> close()
        }
    }

    /** Closes the connection if no request is in progress on it. */
    fun closeIfIdle() {
        if (!isBusy && headBegunAtMillis == null) close()
    }

    /** Closes the connection at once, so that an answer which has begun is not taken for whole. */
    fun abort() {
        work = null
        close()
    }

    /** Answers whole with [status]; [headers] lack those that concern the connection. */
    fun answer(status: HttpResponseStatus, headers: HttpHeaders?, body: ByteBuf) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        headers?.let { response.headers().add(it) }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        finish(response)
    }

    /** Answers an error of the router's own. */
    fun fail(status: HttpResponseStatus, message: String, retryAfterSeconds: String? = null) {
        val body = Unpooled.copiedBuffer(handler.errorBody(message), Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        retryAfterSeconds?.let { response.headers().set(HttpHeaderNames.RETRY_AFTER, it) }
        finish(response)
    }

    /** Begins an answer whose length is not known. */
    fun beginStream(status: HttpResponseStatus, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().add(headers)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        markClose(response.headers())
        streaming = true
        context.write(response)
    }

    /** Passes on a piece of an answer that [beginStream] began. */
    fun stream(bytes: ByteBuf) {
        context.write(DefaultHttpContent(bytes))
    }

    /** Sends what was written so far. */
    fun flush() {
        context.flush()
    }

    /** Ends an answer that [beginStream] began. */
    fun endStream() {
        streaming = false
        val written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        next(written)
    }

    private fun finish(response: DefaultFullHttpResponse) {
        markClose(response.headers())
        next(context.writeAndFlush(response))
    }

    private fun markClose(headers: HttpHeaders) {
        keepAlive = keepAlive && !handler.closing
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun next(written: io.netty.channel.ChannelFuture) {
        work = null
        head = null
        activeAtMillis = clock.nowMillis()
        if (!keepAlive) {
            closing = true
            written.addListener(ChannelFutureListener.CLOSE)
            return
        }
        context.channel().config().isAutoRead = true
        while (work == null && !closing && pending.isNotEmpty()) take(pending.removeFirst())
    }

    private fun hold(message: HttpObject) {
        pending.addLast(message)
        if (pending.size >= MAX_PENDING) context.channel().config().isAutoRead = false
    }

    private fun take(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) return rejectMalformed(message.decoderResult().cause())
            if (message is HttpRequest) takeHead(message)
            if (message is HttpContent && head != null && !closing) takeBody(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun takeHead(request: HttpRequest) {
        headBegunAtMillis = null
        head = request
        keepAlive = HttpUtil.isKeepAlive(request)
        val problem = problemOf(request)
        if (problem != null) return reject(problem.status, problem.message)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
            )
        }
    }

    private fun takeBody(content: HttpContent) {
        val bytes = content.content()
        val buffer = body ?: context.alloc().buffer(maxOf(bytes.readableBytes(), FIRST_BODY_BYTES)).also { body = it }
        if (buffer.readableBytes() + bytes.readableBytes() > handler.limits.maxBodyBytes) {
            return reject(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body may have ${handler.limits.maxBodyBytes} bytes at most",
            )
        }
        buffer.writeBytes(bytes)
        if (content is LastHttpContent) deliver()
    }

    /**
     * Hands the request over once all that arrived with it was read, because the caller may have left already: a host that
     * was busy finds the request and the end of its connection together.
     */
    private fun deliver() {
        val request = checkNotNull(head) { "a body follows a head" }
        val received = ReceivedRequest(request.method().name(), request.uri(), request.headers(), body ?: Unpooled.EMPTY_BUFFER)
        body = null
        val handedOver = HandOver(received)
        work = handedOver
        context.executor().execute(handedOver)
    }

    private inner class HandOver(private val request: ReceivedRequest) :
        CallerWork,
        Runnable {
        override fun run() {
            if (work !== this || !context.channel().isActive) return
            val begun = handler.handle(request, this@CallerConnection)
            if (work === this) work = begun
        }

        override fun callerDisconnected() {
            request.body.release()
        }
    }

    private fun rejectMalformed(cause: Throwable) {
        val problem = malformedProblem(cause)
        reject(problem.status, problem.message)
    }

    private fun reject(status: HttpResponseStatus, message: String) {
        if (closing) return
        handler.refusedUnread(status.code(), message)
        keepAlive = false
        releaseAll()
        fail(status, message)
    }

    private fun releaseAll() {
        body?.release()
        body = null
        pending.forEach { ReferenceCountUtil.release(it) }
        pending.clear()
    }

    private fun close() {
        closing = true
        context.close()
    }

    private companion object {
        val REQUEST_TIMEOUT: HttpResponseStatus = HttpResponseStatus.REQUEST_TIMEOUT

        /** Parsed pieces of later requests that are held while one is in progress; a caller that sends more is not read. */
        const val MAX_PENDING = 64
        const val FIRST_BODY_BYTES = 256
    }
}
