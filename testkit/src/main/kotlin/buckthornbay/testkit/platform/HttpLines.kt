package buckthornbay.testkit.platform

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream

/**
 * Reads the lines and bytes of HTTP/1.1 messages as they come.
 *
 * A failure to read that [isEof] names is taken for the connection's end; others are thrown.
 */
internal class HttpLines(private val input: InputStream, private val isEof: (IOException) -> Boolean = { false }) {
    /** Returns the next line without its end, or null where the connection ends before it does. */
    fun next(): String? {
        val line = StringBuilder()
        while (true) {
            val byte = read()
            if (byte < 0) return null
            if (byte == '\n'.code) return line.toString().trimEnd('\r')
            line.append(byte.toChar())
        }
    }

    /** Returns the headers up to the empty line, names in lower case; null where the connection ends before that. */
    fun headers(): List<Pair<String, String>>? {
        val headers = ArrayList<Pair<String, String>>()
        while (true) {
            val line = next() ?: return null
            if (line.isEmpty()) return headers
            headers += line.substringBefore(':').lowercase() to line.substringAfter(':').trim()
        }
    }

    /** Returns [count] bytes, or fewer where the connection ends before. */
    fun bytes(count: Int): ByteArray {
        val bytes = ByteArrayOutputStream()
        while (bytes.size() < count) {
            val byte = read()
            if (byte < 0) break
            bytes.write(byte)
        }
        return bytes.toByteArray()
    }

    private fun read(): Int = try {
        input.read()
    } catch (e: IOException) {
        if (isEof(e)) -1 else throw e
    }
}
