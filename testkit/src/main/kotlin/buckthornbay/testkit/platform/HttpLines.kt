package buckthornbay.testkit.platform

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream

/**
 * A reader of the lines, headers and body bytes of HTTP/1.1 messages from [input].
 *
 * @property isEof decides whether a read error counts as the end of the connection; other errors are rethrown.
 */
internal class HttpLines(private val input: InputStream, private val isEof: (IOException) -> Boolean = { false }) {
    /** Returns the next line without its line terminator, or null if the connection ends first. */
    fun next(): String? {
        val line = StringBuilder()
        while (true) {
            val byte = read()
            if (byte < 0) return null
            if (byte == '\n'.code) return line.toString().trimEnd('\r')
            line.append(byte.toChar())
        }
    }

    /** Returns the headers with lower-case names, or null if the connection ends before the empty line. */
    fun headers(): List<Pair<String, String>>? {
        val headers = ArrayList<Pair<String, String>>()
        while (true) {
            val line = next() ?: return null
            if (line.isEmpty()) return headers
            headers += line.substringBefore(':').lowercase() to line.substringAfter(':').trim()
        }
    }

    /** Returns [count] bytes, or fewer if the connection ends first. */
    fun bytes(count: Int): ByteArray {
        val bytes = ByteArrayOutputStream()
        while (bytes.size() < count) {
            val byte = read()
            if (byte < 0) break
            bytes.write(byte)
        }
        return bytes.toByteArray()
    }

    /** Returns all bytes until the connection ends, and whether it ends regularly rather than by a read error. */
    fun bytesToEnd(): Pair<ByteArray, Boolean> {
        val bytes = ByteArrayOutputStream()
        while (true) {
            val byte = try {
                input.read()
            } catch (e: IOException) {
                if (isEof(e)) return bytes.toByteArray() to false else throw e
            }
            if (byte < 0) return bytes.toByteArray() to true
            bytes.write(byte)
        }
    }

    private fun read(): Int = try {
        input.read()
    } catch (e: IOException) {
        if (isEof(e)) -1 else throw e
    }
}
