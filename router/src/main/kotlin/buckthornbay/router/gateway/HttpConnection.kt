package buckthornbay.router.gateway

import buckthornbay.core.Clock
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/** A listener for the response to one request that was sent on an [HttpConnection]. */
internal interface ResponseListener {
    /** Receives the head of a response; returns false if the response belongs to another request and must be skipped. */
    fun head(response: HttpResponse): Boolean

    /** Receives a part of the body, which is released after the call. */
    fun content(bytes: ByteBuf)

    /** Called when the response is complete; [withConnection] tells that the end of the connection is its end. */
    fun complete(withConnection: Boolean)

    /** Called when the connection was lost or undecodable bytes arrived before the response was complete. */
    fun broken(reason: String)

    /** Called instead of [broken] when bytes arrived that are no valid response. */
    fun invalid(reason: String) = broken(reason)

    /** Called after all bytes of one read have been delivered. */
    fun readComplete() = Unit
}

/**
 * HTTP/1.1 client connection to an upstream, a peer or the store, without pipelining.
 *
 * Bytes that arrive while no response is awaited belong to no request, so they close the connection. A late response to an
 * earlier request is skipped if the listener rejects its head.
 */
internal class HttpConnection(private val clock: Clock, private val onIdle: (HttpConnection) -> Unit) :
    ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel

    /** Writes bytes without the encoder. */
    private lateinit var rawContext: ChannelHandlerContext
    private val decoder = StrictResponseDecoder(DECODER_CONFIG)
    private var listener: ResponseListener? = null
    private var skippingResponse = false
    private var informational = false
    private var failure: String? = null
    private var lastWrite: ChannelFuture? = null
    private var keepAlive = true
    private var finished = false
    private var headAccepted = false
    private var hasRequestBody = false

    /** Whether the server has ended its side of the connection, which then stays open for [completeUnlessReset]. */
    private var inputEnded = false
    private var checkingReset = false
    private var bytesBeforeHead = 0L
    private var skippedResponses = 0

    /**
     * Time since which bytes have arrived that don't complete the head of the awaited response, in milliseconds; null if there
     * are no such bytes.
     */
    var incompleteHeadSinceMillis: Long? = null
        private set

    /** Time at which the connection became idle, in milliseconds. */
    var idleSinceMillis: Long = 0
        private set

    /** Keep-alive timeout of the server according to its last response, in milliseconds. */
    var keepAliveMillis: Long = DEFAULT_KEEP_ALIVE_MILLIS
        private set

    val isOpen: Boolean get() = channel.isActive && !finished

    /** Adds the handlers of this connection to the pipeline of a new channel. */
    fun install(to: Channel) {
        channel = to
        to.pipeline().addLast(UnsolicitedBytesGuard(), HttpRequestEncoder(), decoder, this)
    }

    /** Sends [request] and passes its response to [listener]. */
    fun send(request: FullHttpRequest, listener: ResponseListener) {
        check(this.listener == null) { "another request is in progress on this connection" }
        this.listener = listener
        headAccepted = false
        hasRequestBody = request.content().isReadable
        bytesBeforeHead = 0
        skippedResponses = 0
        incompleteHeadSinceMillis = null
        decoder.isHeadRequest = request.method() == HttpMethod.HEAD
        keepAlive = true
        lastWrite = channel.writeAndFlush(request)
    }

    /** Makes the connection available to other requests without having sent one. */
    fun release() {
        idleSinceMillis = clock.nowMillis()
        onIdle(this)
    }

    /** Closes the connection without a further call of the listener. */
    fun abort() {
        listener = null
        finished = true
        channel.close()
    }

    /** Pauses or resumes reading, which applies back-pressure to a sender that is faster than the receiver. */
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
        if (message.decoderResult().isFailure) return failInvalid(message.decoderResult().cause()?.message)
        if (message is HttpResponse) head(message)
        if (message is HttpContent) content(message)
    }

    private fun head(response: HttpResponse) {
        val listener = listener ?: return fail("an answer came without a request")
        informational = response.status().code() < FIRST_FINAL_STATUS
        if (informational) return
        keepAlive = keepAlive && HttpUtil.isKeepAlive(response)
        keepAliveMillis = response.headers()["Keep-Alive"]?.let(::keepAliveTimeoutMillis) ?: DEFAULT_KEEP_ALIVE_MILLIS
        skippingResponse = !listener.head(response)
        if (skippingResponse) return
        headAccepted = true
        incompleteHeadSinceMillis = null
        if (hasRequestBody && !isFramed(response)) channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
    }

    private fun isFramed(response: HttpResponse): Boolean =
        HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)

    /** Fails if the server sends one response after the other, none of which is the awaited one. */
    private fun skipped() {
        incompleteHeadSinceMillis = null
        skippedResponses++
        if (skippedResponses > MAX_SKIPPED_RESPONSES) fail("more than $MAX_SKIPPED_RESPONSES other responses came first")
    }

    private fun content(content: HttpContent) {
        val last = content is LastHttpContent
        when {
            informational -> if (last) skipped()
            skippingResponse -> if (last) {
                skippingResponse = false
                skipped()
            }
            else -> {
                val listener = listener ?: return
                if (content.content().isReadable) listener.content(content.content())
                if (last) complete()
            }
        }
    }

    private fun complete() {
        val current = listener ?: return
        if (failure != null) return fail(failure.orEmpty())
        val endedWithConnection = inputEnded || !channel.isActive
        // A failed write closes the connection, which the decoder takes for the end of a response without a length.
        if (endedWithConnection && lastWrite?.isSuccess != true) return fail(ENDED_BEFORE_WRITTEN)
        if (inputEnded) return completeUnlessReset()
        listener = null
        finished = !keepAlive || lastWrite?.isSuccess != true
        current.complete(withConnection = !channel.isActive)
    }

    /**
     * Completes a response that the end of the connection ends, unless a reset has followed that end.
     *
     * A server that closes a connection before it has read the whole request resets it, and may end its side first. Then its
     * response may be a part only, although the operating system took the request to its last byte. After a reset, writes fail;
     * an empty line after the request means nothing to a server that still reads.
     */
    private fun completeUnlessReset() {
        checkingReset = true
        channel.eventLoop().schedule(
            {
                val write = rawContext.writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))
                write.addListener { if (it.isSuccess) completeWithConnection() else fail(RESET_AFTER_END) }
            },
            RESET_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun completeWithConnection() {
        val current = listener ?: return
        listener = null
        finished = true
        channel.close()
        current.complete(withConnection = true)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        val current = listener
        if (current != null) {
            current.readComplete()
            return
        }
        if (finished || decoder.hasUnreadBytes) {
            abort()
            return
        }
        if (lastWrite != null) {
            lastWrite = null
            idleSinceMillis = clock.nowMillis()
            onIdle(this)
        }
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent && !checkingReset) fail("the connection was closed")
        ctx.fireUserEventTriggered(event)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail(failure ?: "the connection was closed")
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        val invalidHead = cause.cause as? InvalidHeadException
        if (invalidHead != null) return failInvalid(invalidHead.message)
        failure = cause.message ?: cause.javaClass.simpleName
        fail(failure.orEmpty())
    }

    private fun fail(reason: String) = fail(reason) { it.broken(reason) }

    private fun failInvalid(cause: String?) {
        val reason = "the response is invalid: $cause"
        fail(reason) { it.invalid(reason) }
    }

    private fun fail(reason: String, report: (ResponseListener) -> Unit) {
        failure = reason
        val current = listener
        listener = null
        finished = true
        channel.close()
        current?.let(report)
    }

    private fun keepAliveTimeoutMillis(header: String): Long? {
        val seconds = KEEP_ALIVE_TIMEOUT.find(header)?.groupValues?.get(1)?.toLongOrNull() ?: return null
        return seconds * MILLIS_PER_SECOND
    }

    private fun countBeforeHead(bytes: Int) {
        bytesBeforeHead += bytes
        if (incompleteHeadSinceMillis == null) incompleteHeadSinceMillis = clock.nowMillis()
    }

    /** A handler that closes the connection when bytes arrive while no response is awaited, or too many before its head. */
    private inner class UnsolicitedBytesGuard : ChannelInboundHandlerAdapter() {
        override fun handlerAdded(ctx: ChannelHandlerContext) {
            rawContext = ctx
        }

        override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
            if (event is ChannelInputShutdownEvent) inputEnded = true
            ctx.fireUserEventTriggered(event)
        }

        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            if (listener == null) {
                ReferenceCountUtil.release(msg)
                fail("bytes came without a request")
                return
            }
            if (!headAccepted) countBeforeHead((msg as? ByteBuf)?.readableBytes() ?: 0)
            if (bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
                ReferenceCountUtil.release(msg)
                fail("no response head within $MAX_BYTES_BEFORE_HEAD bytes")
                return
            }
            ctx.fireChannelRead(msg)
        }
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        const val ENDED_BEFORE_WRITTEN = "the connection ended before the request was written"
        const val RESET_AFTER_END = "the upstream reset the connection after its response, before it had read the request"
        val EMPTY_LINE = "\r\n".encodeToByteArray()

        /** Time in which a reset arrives after the end of the server's side, in milliseconds: a round trip between regions. */
        const val RESET_MILLIS = 20L
        const val MILLIS_PER_SECOND = 1_000L

        /** Keep-alive timeout assumed if the server sends none, in milliseconds; servers commonly use five seconds. */
        const val DEFAULT_KEEP_ALIVE_MILLIS = 4_000L
        val KEEP_ALIVE_TIMEOUT = Regex("""timeout\s*=\s*(\d+)""", RegexOption.IGNORE_CASE)
        val DECODER_CONFIG: HttpDecoderConfig = HttpDecoderConfig().setMaxHeaderSize(MAX_RESPONSE_HEAD_BYTES)

        /** Largest accepted size of a response head, in bytes. */
        const val MAX_RESPONSE_HEAD_BYTES = 32_768

        /**
         * Largest number of bytes that may come before the head of the awaited response, in bytes: blank lines, informational
         * responses and late responses to earlier requests, which are skipped.
         */
        const val MAX_BYTES_BEFORE_HEAD = 1_048_576L

        /** Largest number of responses that are skipped; a server sends at most a few late or informational ones. */
        const val MAX_SKIPPED_RESPONSES = 8
    }
}
