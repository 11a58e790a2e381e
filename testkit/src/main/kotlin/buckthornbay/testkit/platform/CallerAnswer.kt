package buckthornbay.testkit.platform

import java.io.IOException
import java.io.InputStream

/**
 * An answer as a caller sees it.
 *
 * @property headers by names in lower case; of several with one name, the last.
 * @property body the bytes after decoding of chunks.
 * @property complete whether head and body ended as they should.
 */
public class CallerAnswer(
    public val status: Int,
    public val headers: Map<String, String>,
    public val body: String,
    public val complete: Boolean,
)

/**
 * Reads one answer from [input]; returns null where the connection ends before its status.
 *
 * A failure to read that [isEof] names is taken for the connection's end; others are thrown, as is what is no answer.
 */
public fun readCallerAnswer(input: InputStream, isEof: (IOException) -> Boolean): CallerAnswer? =
    CallerAnswerReader(HttpLines(input, isEof)).read()

private class CallerAnswerReader(private val lines: HttpLines) {
    fun read(): CallerAnswer? {
        val line = lines.next() ?: return null
        val status = line.split(' ').getOrNull(1)?.toIntOrNull() ?: throw IOException("'$line' is no status line")
        val headers = lines.headers() ?: return CallerAnswer(status, emptyMap(), "", complete = false)
        val byName = headers.toMap()
        if (byName["transfer-encoding"] == "chunked") return chunked(status, byName)
        val length = byName["content-length"]?.toInt() ?: 0
        val bytes = lines.bytes(length)
        return CallerAnswer(status, byName, bytes.decodeToString(), bytes.size == length)
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

    private companion object {
        const val HEXADECIMAL = 16
    }
}
