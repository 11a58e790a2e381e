package buckthornbay.router.gateway

import buckthornbay.core.ManualClock
import buckthornbay.core.admission.BufferBudget
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.ReferenceCountUtil
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Tests what a caller gets when a part of its response can't be written, for example for lack of memory. */
class FailedWriteTest {
    /** Fails the write with number [failing], from 0, instead of passing it on. */
    private class FailingWriter(private val failing: Int) : ChannelOutboundHandlerAdapter() {
        private var writes = 0

        override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
            if (writes++ != failing) {
                ctx.write(msg, promise)
                return
            }
            ReferenceCountUtil.release(msg)
            promise.setFailure(IllegalStateException("no memory"))
        }
    }

    private class Handler(private val respond: (CallerConnection) -> Unit) : RequestHandler {
        override val limits = ReadLimits(maxBodyBytes = 1_000, headerTimeoutMillis = 1_000, idleTimeoutMillis = 1_000)
        override val buffers = BufferBudget(1_000_000)
        override val closing = false
        override val connections = HashSet<CallerConnection>()

        override fun errorBody(message: String) = message

        override fun handle(request: ReceivedRequest, caller: CallerConnection): CallerWork {
            request.release()
            respond(caller)
            return CallerWork.Done
        }
    }

    /** Returns what is written to the caller, and whether its connection stays open, when write number [failing] fails. */
    private fun written(failing: Int, respond: (CallerConnection) -> Unit): Pair<String, Boolean> {
        val codec = StrictServerCodec(HttpDecoderConfig())
        val connection = CallerConnection(Handler(respond), ManualClock(), codec)
        val channel = EmbeddedChannel(FailingWriter(failing), codec, connection)
        channel.writeInbound(Unpooled.copiedBuffer("GET /x HTTP/1.1\r\nHost: x\r\n\r\n", Charsets.UTF_8))
        channel.runPendingTasks()
        val text = StringBuilder()
        while (true) {
            text.append(
                (channel.readOutbound<ByteBuf>() ?: break).let { bytes ->
                    bytes.toString(Charsets.UTF_8).also { bytes.release() }
                },
            )
        }
        return (text.toString() to channel.isOpen).also { channel.finishAndReleaseAll() }
    }

    private val stream: (CallerConnection) -> Unit = { caller ->
        caller.beginStream(HttpResponseStatus.OK, DefaultHttpHeaders())
        repeat(3) { caller.writeChunk(Unpooled.copiedBuffer("event-$it", Charsets.UTF_8)) }
        caller.flush()
        caller.endStream()
    }

    @Test
    fun aStreamWithAMissingEventIsEndedAsComplete() {
        val (whole, open) = written(failing = -1, stream)
        assertEquals(listOf(true, true), listOf(whole.endsWith("0\r\n\r\n"), open))
        val writes = generateSequence(0) { it + 1 }.takeWhile { written(it, stream) != whole to true }.count()
        for (failing in 0 until writes) {
            val (text, isOpen) = written(failing, stream)
            assertFalse(text.endsWith("0\r\n\r\n"), "write $failing failed: $text")
            assertFalse(isOpen, "write $failing failed")
        }
    }

    @Test
    fun aConnectionWhoseResponseWasNotWrittenStaysOpen() {
        val (text, isOpen) = written(failing = 0) { it.fail(HttpResponseStatus.SERVICE_UNAVAILABLE, "not run") }
        assertEquals("" to false, text to isOpen)
    }
}
