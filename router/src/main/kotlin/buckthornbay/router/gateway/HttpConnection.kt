package buckthornbay.router.gateway

import buckthornbay.core.Clock
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Receives the answer to one request that was sent on an [HttpConnection]. */
internal interface ResponseListener {
    /** Takes in the head of an answer; returns false where the answer belongs to another request and is to be skipped. */
    fun head(response: HttpResponse): Boolean

    /** Takes in a piece of the body, which is released after the call. */
    fun content(bytes: ByteBuf)

    /** The answer is whole. */
    fun complete()

    /** The connection broke, or what came is no answer, before the answer was whole. */
    fun broken(reason: String)

    /** All that arrived together was taken in. */
    fun readComplete() = Unit
}

/**
 * A connection to an upstream, a peer or the store that carries one request at a time.
 *
 * Bytes that come while no answer is awaited belong to no request, so the connection is closed then. An answer that arrives
 * late in the place of another is skipped if the listener does not know it.
 */
internal class HttpConnection(private val clock: Clock, private val onIdle: (HttpConnection) -> Unit) :
    ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val decoder = ResponseDecoder()
    private var listener: ResponseListener? = null
    private var skipping = false
    private var informational = false
    private var failure: String? = null
    private var written: ChannelFuture? = null
    private var keepAlive = true
    private var finished = false

    /** When the connection became idle, in milliseconds. */
    var idleSinceMillis: Long = 0
        private set

    /** How long the other end keeps the connection while it is idle, in milliseconds, as its last answer said. */
    var keptMillis: Long = DEFAULT_KEPT_MILLIS
        private set

    val isOpen: Boolean get() = channel.isActive && !finished

    /** Puts this connection's handlers into a new channel's pipeline. */
    fun install(to: Channel) {
        channel = to
        to.pipeline().addLast(IdleBytesGuard(), HttpRequestEncoder(), decoder, this)
    }

    /** Sends [request], whose answer goes to [listener]. */
    fun send(request: FullHttpRequest, listener: ResponseListener) {
        check(this.listener == null) { "a connection carries one request at a time" }
        this.listener = listener
        decoder.headPending = request.method() == HttpMethod.HEAD
        keepAlive = true
        written = channel.writeAndFlush(request)
    }

    /** Closes the connection; the listener hears nothing more. */
    fun abort() {
        listener = null
        finished = true
        channel.close()
    }

    /** Stops or resumes reading, so that a slow receiver holds back a fast sender. */
    fun setReading(reading: Boolean) {
        channel.config().isAutoRead = reading
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            if (msg is HttpObject) receive(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    private fun receive(message: HttpObject) {
        if (message.decoderResult().isFailure) return fail("what came is no answer: ${message.decoderResult().cause()?.message}")
        if (message is HttpResponse) head(message)
        if (message is HttpContent) content(message)
    }

    private fun head(response: HttpResponse) {
        val listener = listener ?: return fail("an answer came without a request")
        informational = response.status().code() < FIRST_FINAL_STATUS
        if (informational) return
        keepAlive = keepAlive && HttpUtil.isKeepAlive(response)
        keptMillis = response.headers()["Keep-Alive"]?.let(::timeoutIn) ?: DEFAULT_KEPT_MILLIS
        skipping = !listener.head(response)
    }

    private fun content(content: HttpContent) {
        val last = content is LastHttpContent
        when {
            informational -> return
            skipping -> if (last) skipping = false
            else -> {
                val listener = listener ?: return
                if (content.content().isReadable) listener.content(content.content())
                if (last) complete()
            }
        }
    }

    private fun complete() {
        val done = listener ?: return
        if (failure != null) return fail(failure.orEmpty())
        listener = null
        finished = !keepAlive || written?.isSuccess != true
        done.complete()
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        val waiting = listener
        if (waiting != null) {
            waiting.readComplete()
            return
        }
        if (finished || decoder.hasLeftover) {
            abort()
            return
        }
        if (written != null) {
            written = null
            idleSinceMillis = clock.nowMillis()
            onIdle(this)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail(failure ?: "the connection was closed")
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        failure = cause.message ?: cause.javaClass.simpleName
        fail(failure.orEmpty())
    }

    private fun fail(reason: String) {
        failure = reason
        val waiting = listener
        listener = null
        finished = true
        channel.close()
        waiting?.broken(reason)
    }

    private fun timeoutIn(header: String): Long? {
        val seconds = KEEP_ALIVE_TIMEOUT.find(header)?.groupValues?.get(1)?.toLongOrNull() ?: return null
        return seconds * MILLIS_PER_SECOND
    }

    /** Closes the connection when bytes come that no request asked for. */
    private inner class IdleBytesGuard : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            if (listener == null) {
                ReferenceCountUtil.release(msg)
                fail("bytes came without a request")
                return
            }
            ctx.fireChannelRead(msg)
        }
    }

    private class ResponseDecoder : HttpResponseDecoder(DECODER_CONFIG) {
        var headPending = false
        val hasLeftover: Boolean get() = actualReadableBytes() > 0

        override fun isContentAlwaysEmpty(msg: io.netty.handler.codec.http.HttpMessage): Boolean =
            headPending || super.isContentAlwaysEmpty(msg)
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        const val MILLIS_PER_SECOND = 1_000L

        /** Idle time that is assumed where the other end names none, in milliseconds; servers commonly keep five seconds. */
        const val DEFAULT_KEPT_MILLIS = 4_000L
        val KEEP_ALIVE_TIMEOUT = Regex("""timeout\s*=\s*(\d+)""", RegexOption.IGNORE_CASE)
        val DECODER_CONFIG: HttpDecoderConfig = HttpDecoderConfig().setMaxHeaderSize(MAX_ANSWER_HEAD_BYTES)

        /** Largest head of an answer that is read, in bytes. */
        const val MAX_ANSWER_HEAD_BYTES = 32_768
    }
}
