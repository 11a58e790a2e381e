package buckthornbay.router.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ReferenceCountUtil

/** The reason why a message head is not passed on to the parser. */
internal class InvalidHeadException(message: String) : Exception(message)

/** A response decoder that fails the connection on a head that [HttpHeadCheck] rejects. */
internal class StrictResponseDecoder(config: HttpDecoderConfig) : HttpResponseDecoder(config) {
    private val scanner = HeadScanner(config.maxInitialLineLength + config.maxHeaderSize)
    private val framing = BodyFraming()
    private var isAtHead = true

    /** Whether the response to come has no body, whatever its head says. */
    var isHeadRequest = false

    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isHeadRequest || super.isContentAlwaysEmpty(message)

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        if (isAtHead) {
            skipEmptyLines(input)
            val length = scanner.lengthOf(input)
            if (length == null) {
                if (scanner.isTooLong(input)) throw InvalidHeadException("the response head is too long")
                return
            }
            HttpHeadCheck.problemOfResponse(input, input.readerIndex(), length)?.let { throw InvalidHeadException(it) }
        }
        val decodedBefore = out.size
        val startIndex = input.readerIndex()
        super.decode(context, input, out)
        if (!framing.accepts(input, startIndex, out, decodedBefore)) throw InvalidHeadException(INVALID_CHUNKS)
        isAtHead = isAtHeadAfter(isAtHead, out, decodedBefore)
    }
}

/**
 * The decoder and encoder of a connection on which callers send requests.
 *
 * A head that [HttpHeadCheck] rejects is passed on as an invalid message, and nothing that follows it is read.
 */
internal class StrictServerCodec(config: HttpDecoderConfig) :
    CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder>() {
    /** Methods of the requests that were decoded and not answered yet, oldest first. */
    private val unansweredMethods = ArrayDeque<HttpMethod>()

    /** Number of bytes that arrived and were not decoded yet. */
    var undecodedBytes = 0
        private set

    init {
        init(Decoder(config), Encoder())
    }

    private inner class Decoder(config: HttpDecoderConfig) : HttpRequestDecoder(config) {
        private val scanner = HeadScanner(config.maxInitialLineLength + config.maxHeaderSize)
        private val framing = BodyFraming()
        private var isAtHead = true
        private var isInvalid = false

        override fun decode(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
            decodeNext(context, input, out)
            undecodedBytes = input.readableBytes()
        }

        /**
         * Returns whether requests are sent ahead of too many responses. Decoded requests take many times their bytes, so that
         * they are left undecoded, and not even read beyond a limit.
         */
        private fun isTooFarAhead(context: ChannelHandlerContext, input: ByteBuf): Boolean {
            val isAhead = unansweredMethods.size >= MAX_UNANSWERED || !context.channel().isWritable
            if (isAhead && input.readableBytes() > MAX_UNDECODED_BYTES) context.channel().config().isAutoRead = false
            return isAhead
        }

        private fun decodeNext(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
            if (isAtHead && !isInvalid) {
                if (isTooFarAhead(context, input)) return
                skipEmptyLines(input)
                val length = scanner.lengthOf(input)
                if (length == null && !scanner.isTooLong(input)) return
                problemOfHead(input, length)?.let { problem ->
                    isInvalid = true
                    out += invalidRequest(problem)
                }
            }
            if (isInvalid) {
                input.skipBytes(input.readableBytes())
                return
            }
            val decodedBefore = out.size
            val startIndex = input.readerIndex()
            super.decode(context, input, out)
            if (!framing.accepts(input, startIndex, out, decodedBefore)) {
                isInvalid = true
                out += invalidRequest(InvalidHeadException(INVALID_CHUNKS))
                return
            }
            for (index in decodedBefore until out.size) (out[index] as? HttpRequest)?.let { unansweredMethods += it.method() }
            isAtHead = isAtHeadAfter(isAtHead, out, decodedBefore)
        }

        private fun problemOfHead(input: ByteBuf, length: Int?): Exception? {
            if (length == null) return TooLongHttpHeaderException("the head is too large")
            return HttpHeadCheck.problemOfRequest(input, input.readerIndex(), length)?.let(::InvalidHeadException)
        }

        private fun invalidRequest(cause: Exception): HttpRequest =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/").apply {
                decoderResult = DecoderResult.failure(cause)
            }
    }

    private inner class Encoder : HttpResponseEncoder() {
        override fun isContentAlwaysEmpty(response: HttpResponse): Boolean {
            val isInterim = response.status().code() < FIRST_FINAL_STATUS
            val method = if (isInterim) unansweredMethods.firstOrNull() else unansweredMethods.removeFirstOrNull()
            return method == HttpMethod.HEAD || super.isContentAlwaysEmpty(response)
        }
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200

        /** Number of requests of a connection that are decoded before the first of them is answered. */
        const val MAX_UNANSWERED = 2

        /** Bytes of requests that are sent ahead above which no more are read: some heads of the largest size. */
        const val MAX_UNDECODED_BYTES = 65_536
    }
}

/** Checks the framing of the chunked bodies that a parser reads. */
private class BodyFraming {
    private var check: ChunkedBodyCheck? = null

    /**
     * Returns whether the bytes of [input] from [startIndex] on that were just read are framed correctly; if they are not, what
     * was read from them is removed from [out], where it begins at [decodedBefore].
     */
    fun accepts(input: ByteBuf, startIndex: Int, out: MutableList<Any>, decodedBefore: Int): Boolean {
        val isAccepted = check?.accepts(input, startIndex, input.readerIndex()) ?: true
        if (!isAccepted) {
            while (out.size > decodedBefore) ReferenceCountUtil.release(out.removeAt(out.lastIndex))
            return false
        }
        for (index in decodedBefore until out.size) {
            val message = out[index]
            if (message is HttpMessage) check = if (HttpUtil.isTransferEncodingChunked(message)) ChunkedBodyCheck() else null
            if (message is LastHttpContent) check = null
        }
        return true
    }
}

private const val INVALID_CHUNKS = "the chunks of the body are framed incorrectly"

/** Returns whether a head comes next, after the messages from [decodedBefore] on were added to [out]. */
private fun isAtHeadAfter(wasAtHead: Boolean, out: List<Any>, decodedBefore: Int): Boolean {
    val last = out.lastOrNull().takeIf { out.size > decodedBefore } ?: return wasAtHead
    return last is LastHttpContent
}
