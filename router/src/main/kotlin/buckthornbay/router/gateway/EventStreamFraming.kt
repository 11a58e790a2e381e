package buckthornbay.router.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator

/** A whole event of a stream; [bytes] belongs to the receiver. */
internal class StreamEvent(val id: String?, val bytes: ByteBuf)

/**
 * Cuts the bytes of an event stream into whole events, so that an event of which only a part arrived is never passed on.
 *
 * Events end with an empty line; lines end with LF or CRLF.
 */
internal class EventStreamFraming(private val allocator: ByteBufAllocator) {
    private var buffer: ByteBuf? = null
    private var scannedBytes = 0

    /** Bytes of an event that has not ended. */
    val leftoverBytes: Int get() = buffer?.readableBytes() ?: 0

    /** Takes in [bytes] and passes each event that they complete to [receive]. */
    fun feed(bytes: ByteBuf, receive: (StreamEvent) -> Unit) {
        val all = buffer ?: allocator.buffer(bytes.readableBytes().coerceAtLeast(FIRST_BYTES)).also { buffer = it }
        all.writeBytes(bytes)
        while (true) {
            val end = endOfEvent(all) ?: break
            val event = all.readBytes(end)
            scannedBytes = 0
            receive(StreamEvent(idIn(event), event))
        }
        scannedBytes = all.readableBytes()
        if (scannedBytes == 0) release() else all.discardSomeReadBytes()
    }

    /** Takes out what is left of an event that the end of the stream cut off, or null where nothing is. */
    fun takeLeftover(): ByteBuf? = buffer?.takeIf { it.isReadable }?.also { buffer = null }

    /** Drops what is left. */
    fun release() {
        buffer?.release()
        buffer = null
        scannedBytes = 0
    }

    /** Returns the length of the first event, its empty line included, or null where it has not ended. */
    private fun endOfEvent(all: ByteBuf): Int? {
        val start = all.readerIndex()
        var index = start + (scannedBytes - LONGEST_END).coerceAtLeast(0)
        while (true) {
            val lineEnd = all.indexOf(index, all.writerIndex(), LF)
            if (lineEnd < 0) return null
            val next = lineEnd + 1
            if (next < all.writerIndex() && all.getByte(next) == LF) return next + 1 - start
            if (next + 1 < all.writerIndex() && all.getByte(next) == CR && all.getByte(next + 1) == LF) return next + 2 - start
            index = next
        }
    }

    private fun idIn(event: ByteBuf): String? {
        var index = event.readerIndex()
        val end = event.writerIndex()
        while (index < end) {
            val lineEnd = event.indexOf(index, end, LF).let { if (it < 0) end else it }
            if (isIdLine(event, index, lineEnd)) {
                return event.toString(index + ID_FIELD.size, lineEnd - index - ID_FIELD.size, Charsets.UTF_8).trim()
            }
            index = lineEnd + 1
        }
        return null
    }

    private fun isIdLine(event: ByteBuf, index: Int, lineEnd: Int): Boolean =
        lineEnd - index >= ID_FIELD.size && ID_FIELD.indices.all { event.getByte(index + it) == ID_FIELD[it] }

    private companion object {
        const val LF: Byte = 10
        const val CR: Byte = 13
        const val FIRST_BYTES = 512
        const val LONGEST_END = 3
        val ID_FIELD = "id:".encodeToByteArray()
    }
}
