package buckthornbay.router.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator

/** A complete event of an event stream. The receiver must release [bytes]. */
internal class StreamEvent(val id: String?, val bytes: ByteBuf)

/**
 * A splitter of the bytes of an event stream (server-sent events) into complete events; it never passes on a partial event.
 *
 * An event ends with an empty line; lines end with LF or CRLF.
 */
internal class EventStreamFraming(private val allocator: ByteBufAllocator) {
    private var buffer: ByteBuf? = null
    private var scannedBytes = 0

    /** Number of buffered bytes of an incomplete event. */
    val incompleteBytes: Int get() = buffer?.readableBytes() ?: 0

    /** Number of bytes of memory that the buffer takes. */
    val bufferedBytes: Int get() = buffer?.capacity() ?: 0

    /** Appends [bytes] to the buffer and calls [onEvent] for each event that they complete, until it calls [release]. */
    fun feed(bytes: ByteBuf, onEvent: (StreamEvent) -> Unit) {
        val all = buffer ?: allocator.buffer(bytes.readableBytes().coerceAtLeast(INITIAL_CAPACITY)).also { buffer = it }
        all.writeBytes(bytes)
        while (true) {
            val end = endOfEvent(all) ?: break
            val event = all.readBytes(end)
            scannedBytes = 0
            onEvent(StreamEvent(eventId(event), event))
            if (buffer !== all) return
        }
        scannedBytes = all.readableBytes()
        if (scannedBytes == 0) release() else all.discardSomeReadBytes()
    }

    /** Whether the bytes after the last complete event belong to an event, not just to blank lines. */
    val endsWithinEvent: Boolean
        get() = buffer?.let { bytes -> bytes.forEachByte { it == LF || it == CR } >= 0 } == true

    /** Removes and returns the bytes after the last complete event, or null if there are none. */
    fun takeRest(): ByteBuf? = buffer?.takeIf { it.isReadable }?.also { buffer = null }

    /** Releases the buffer and discards an incomplete event. */
    fun release() {
        buffer?.release()
        buffer = null
        scannedBytes = 0
    }

    /** Returns the length of the first event with its empty line, or null if it is incomplete. */
    private fun endOfEvent(all: ByteBuf): Int? {
        val start = all.readerIndex()
        var index = start + (scannedBytes - MAX_TERMINATOR_BYTES).coerceAtLeast(0)
        while (true) {
            val lineEnd = all.indexOf(index, all.writerIndex(), LF)
            if (lineEnd < 0) return null
            val next = lineEnd + 1
            if (next < all.writerIndex() && all.getByte(next) == LF) return next + 1 - start
            if (next + 1 < all.writerIndex() && all.getByte(next) == CR && all.getByte(next + 1) == LF) return next + 2 - start
            index = next
        }
    }

    private fun eventId(event: ByteBuf): String? {
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
        const val INITIAL_CAPACITY = 512

        /** Length of the longest event terminator that is searched for, in bytes: LF, CR, LF. */
        const val MAX_TERMINATOR_BYTES = 3
        val ID_FIELD = "id:".encodeToByteArray()
    }
}
