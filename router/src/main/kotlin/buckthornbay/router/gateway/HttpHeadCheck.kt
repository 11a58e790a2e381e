package buckthornbay.router.gateway

import buckthornbay.store.isHttpTokenCharacter
import io.netty.buffer.ByteBuf

/**
 * Checks the bytes of the head of an HTTP/1 message by the grammar of RFC 9112, before a parser that is more lenient reads it.
 *
 * A head that two parsers may read differently can hide the length of a body or be shortened to another field, so it is rejected
 * as a whole.
 */
internal object HttpHeadCheck {
    /** Returns the problem of the response head in [length] bytes of [input] from [start], or null if it is valid. */
    fun problemOfResponse(input: ByteBuf, start: Int, length: Int): String? {
        val lines = HeadLines(input, start, length)
        return lines.endProblem ?: problemOfStatusLine(lines.first()) ?: problemOfFields(lines) ?: problemOfFraming(lines)
    }

    /**
     * Returns the problem of the fields of the request head in [length] bytes of [input] from [start], or null if they are valid;
     * [problemOf] checks what a request with valid fields says.
     */
    fun problemOfRequest(input: ByteBuf, start: Int, length: Int): String? {
        val lines = HeadLines(input, start, length)
        return lines.endProblem ?: problemOfRequestLine(lines.first()) ?: problemOfFields(lines)
    }

    private fun problemOfStatusLine(line: String): String? {
        val match = STATUS_LINE.matchEntire(line) ?: return "'${printable(line)}' is no status line of HTTP/1.0 or 1.1"
        val status = match.groupValues[1].toInt()
        return when {
            status !in STATUS_CODES -> "the status $status is not between ${STATUS_CODES.first} and ${STATUS_CODES.last}"
            status == SWITCHING_PROTOCOLS -> "the response switches to a protocol that was not asked for"
            else -> null
        }
    }

    private fun problemOfRequestLine(line: String): String? =
        if (REQUEST_LINE.matches(line)) null else "'${printable(line)}' is no request line"

    private fun problemOfFields(lines: HeadLines): String? = lines.fields().firstNotNullOfOrNull(::problemOfField)

    private fun problemOfField(line: String): String? {
        val colon = line.indexOf(':')
        return when {
            line.startsWith(' ') || line.startsWith('\t') -> "a field is continued on a second line"
            colon < 0 -> "the field '${printable(line)}' has no colon"
            colon == 0 || !line.substring(0, colon).all(::isHttpTokenCharacter) ->
                "the field name '${printable(line.substring(0, colon))}' is not a token"
            !line.substring(colon).all(::isValueCharacter) -> "the field '${line.substring(0, colon)}' holds a control character"
            else -> null
        }
    }

    private fun problemOfFraming(lines: HeadLines): String? {
        val lengths = lines.values("content-length")
        val codings = lines.values("transfer-encoding")
        val isOldVersion = lines.first().startsWith(OLD_VERSION)
        return when {
            lengths.size > 1 -> "the response has several lengths"
            lengths.any { length -> length.isEmpty() || !length.all { it in '0'..'9' } } -> "the length is not a whole number"
            codings.isEmpty() -> null
            lengths.isNotEmpty() -> "the response has a length and a transfer coding"
            isOldVersion -> "a response of HTTP/1.0 has a transfer coding"
            codings.size > 1 || !codings.single().equals("chunked", ignoreCase = true) ->
                "the transfer coding '${printable(codings.first())}' is not understood"
            else -> null
        }
    }

    private fun isValueCharacter(character: Char): Boolean = character == '\t' || character in ' '..'~' || character > DELETE

    private fun printable(text: String): String =
        text.take(MAX_QUOTED_CHARACTERS).map { if (it in ' '..'~') it else '?' }.joinToString("")

    private val STATUS_CODES = 100..599
    private const val SWITCHING_PROTOCOLS = 101
    private const val DELETE = '\u007f'
    private const val OLD_VERSION = "HTTP/1.0"

    /** Largest number of characters of an invalid head that a message quotes. */
    private const val MAX_QUOTED_CHARACTERS = 40
    private val STATUS_LINE = Regex("""HTTP/1\.[01] (\d{3})(?: [\t -~\u0080-\u00ff]*)?""")
    private val REQUEST_LINE = Regex("""[!#$%&'*+\-.^_`|~0-9A-Za-z]+ [!-~\u0080-\u00ff]+ HTTP/\d\.\d""")
}

/** The lines of a message head in [length] bytes of [input] from [start], each a character a byte. */
private class HeadLines(input: ByteBuf, start: Int, length: Int) {
    private val text = input.toString(start, length, Charsets.ISO_8859_1)
    private val lines = text.removeSuffix("$CRLF$CRLF").split(CRLF)

    /** The problem of the ends of lines, or null if all of them are CRLF. */
    val endProblem: String? = when {
        !text.endsWith("$CRLF$CRLF") || lines.any { '\n' in it || '\r' in it } -> "a line of the head doesn't end with CR LF"
        else -> null
    }

    fun first(): String = lines.first()

    fun fields(): List<String> = lines.drop(1)

    /** Returns the values of the field [name], which is in lower case. */
    fun values(name: String): List<String> = fields()
        .filter { it.substringBefore(':').equals(name, ignoreCase = true) }
        .map { it.substringAfter(':').trim(' ', '\t') }

    private companion object {
        const val CRLF = "\r\n"
    }
}

/** Finds the end of a message head in bytes that arrive in pieces; each byte is examined once. */
internal class HeadScanner(private val maxBytes: Int) {
    private var scannedBytes = 0

    /** Whether more bytes than a head may have came without its end. */
    fun isTooLong(input: ByteBuf): Boolean = input.readableBytes() > maxBytes && scannedBytes >= maxBytes

    /** Returns the length of the head at the beginning of [input] with its empty line, in bytes; null if it is incomplete. */
    fun lengthOf(input: ByteBuf): Int? {
        val start = input.readerIndex()
        val end = minOf(input.writerIndex(), start + maxBytes)
        for (index in start + scannedBytes until end) {
            if (endsHead(input, start, index)) {
                scannedBytes = 0
                return index - start + 1
            }
        }
        scannedBytes = end - start
        return null
    }

    private fun endsHead(input: ByteBuf, start: Int, index: Int): Boolean {
        if (input.getByte(index) != LINE_FEED || index == start) return false
        val before = input.getByte(index - 1)
        if (before == LINE_FEED) return true
        return before == CARRIAGE_RETURN && index - 2 >= start && input.getByte(index - 2) == LINE_FEED
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}

/** Skips the empty lines that may come before a message head. */
internal fun skipEmptyLines(input: ByteBuf) {
    while (input.isReadable) {
        val next = input.getByte(input.readerIndex()).toInt().toChar()
        if (next != '\r' && next != '\n') return
        input.skipBytes(1)
    }
}
