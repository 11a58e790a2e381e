package buckthornbay.testkit.platform

import java.io.IOException
import java.io.InputStream

/**
 * An HTTP response as received by a caller.
 *
 * @property headers headers by lower-case name; the last one wins if a name is repeated.
 * @property body the body with the chunked encoding removed.
 * @property complete whether the head and the body were received in full; a body that has no length and no chunks ends with a
 * regular close of the connection.
 */
public class CallerAnswer(
    public val status: Int,
    public val headers: Map<String, String>,
    public val body: String,
    public val complete: Boolean,
)

/**
 * Reads one HTTP response from [input]; returns null if the connection ends before the status line.
 *
 * Read errors for which [isEof] returns true count as the end of the connection.
 *
 * @throws IOException on any other read error, or if the first line is not a status line.
 */
public fun readCallerAnswer(input: InputStream, isEof: (IOException) -> Boolean): CallerAnswer? =
    CallerAnswerReader(HttpLines(input, isEof)).read()

private class CallerAnswerReader(private val lines: HttpLines) {
    fun read(): CallerAnswer? {
        val line = lines.next() ?: return null
        val status = line.split(' ').getOrNull(1)?.toIntOrNull() ?: throw IOException("'$line' is not an HTTP status line")
        val headers = lines.headers() ?: return CallerAnswer(status, emptyMap(), "", complete = false)
        val headersByName = headers.toMap()
        if (headersByName["transfer-encoding"] == "chunked") return chunked(status, headersByName)
        val length = headersByName["content-length"]?.toInt() ?: return untilClose(status, headersByName)
        val bytes = lines.bytes(length)
        return CallerAnswer(status, headersByName, bytes.decodeToString(), bytes.size == length)
    }

    private fun chunked(status: Int, headers: Map<String, String>): CallerAnswer {
        val body = StringBuilder()
        while (true) {
            val size = lines.next()?.trim()?.toIntOrNull(HEXADECIMAL)
                ?: return CallerAnswer(status, headers, body.toString(), complete = false)
            body.append(lines.bytes(size).decodeToString())
            val ended = lines.next() == null
            if (size == 0 || ended) return CallerAnswer(status, headers, body.toString(), complete = !ended)
        }
    }

    private fun untilClose(status: Int, headers: Map<String, String>): CallerAnswer {
        val hasNoBody = status < FIRST_WITH_BODY || status == NO_CONTENT || status == NOT_MODIFIED
        if (hasNoBody) return CallerAnswer(status, headers, "", complete = true)
        val (bytes, complete) = lines.bytesToEnd()
        return CallerAnswer(status, headers, bytes.decodeToString(), complete)
    }

    private companion object {
        const val FIRST_WITH_BODY = 200
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
        const val HEXADECIMAL = 16
    }
}
