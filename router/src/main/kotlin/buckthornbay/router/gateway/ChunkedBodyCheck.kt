package buckthornbay.router.gateway

import io.netty.buffer.ByteBuf

/**
 * Checks the framing of a chunked body by the grammar of RFC 9112, section 7.1, which the parser reads more leniently: a size
 * with a sign or after a blank could be read as another number by someone else.
 */
internal class ChunkedBodyCheck {
    private enum class Part { SIZE, PADDING, EXTENSION, SIZE_END, DATA, DATA_RETURN, DATA_END, TRAILER }

    private var part = Part.SIZE
    private var digits = 0
    private var remainingBytes = 0L

    /** Returns whether the bytes of [input] from [start] until [end], which follow those of earlier calls, are valid. */
    fun accepts(input: ByteBuf, start: Int, end: Int): Boolean {
        var index = start
        while (index < end) {
            if (part == Part.TRAILER) return true
            if (part == Part.DATA) {
                val count = minOf(remainingBytes, (end - index).toLong())
                remainingBytes -= count
                index += count.toInt()
                if (remainingBytes == 0L) part = Part.DATA_RETURN
                continue
            }
            part = after(input.getUnsignedByte(index).toInt().toChar()) ?: return false
            index++
        }
        return true
    }

    private fun after(next: Char): Part? = when (part) {
        Part.SIZE -> afterSize(next)
        Part.PADDING -> afterPadding(next)
        Part.EXTENSION -> afterExtension(next)
        Part.SIZE_END -> if (next == '\n') afterSizeLine() else null
        Part.DATA_RETURN -> Part.DATA_END.takeIf { next == '\r' }
        Part.DATA_END -> if (next == '\n') startOfSize() else null
        Part.DATA, Part.TRAILER -> part
    }

    private fun afterSize(next: Char): Part? {
        val digit = next.digitToIntOrNull(HEXADECIMAL)
        return when {
            digit != null && digits < MAX_DIGITS -> {
                digits++
                remainingBytes = remainingBytes * HEXADECIMAL + digit
                Part.SIZE
            }
            digits == 0 -> null
            else -> afterPadding(next)
        }
    }

    private fun afterPadding(next: Char): Part? = when (next) {
        ' ', '\t' -> Part.PADDING
        ';' -> Part.EXTENSION
        '\r' -> Part.SIZE_END
        else -> null
    }

    private fun afterExtension(next: Char): Part? = when {
        next == '\r' -> Part.SIZE_END
        next == '\t' || next in ' '..'~' || next > '\u007f' -> Part.EXTENSION
        else -> null
    }

    private fun afterSizeLine(): Part = if (remainingBytes == 0L) Part.TRAILER else Part.DATA

    private fun startOfSize(): Part {
        digits = 0
        remainingBytes = 0
        return Part.SIZE
    }

    private companion object {
        const val HEXADECIMAL = 16

        /** Largest number of digits of a size; more would overflow a signed number of 64 bits. */
        const val MAX_DIGITS = 15
    }
}
