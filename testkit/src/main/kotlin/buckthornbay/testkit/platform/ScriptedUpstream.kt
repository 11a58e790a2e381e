package buckthornbay.testkit.platform

import java.io.BufferedInputStream
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A request received by a [ScriptedUpstream]; header names are in lower case. */
public class ScriptedRequest(
    public val line: String,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
) {
    /** Returns the first value of the header [name], or null if it is absent. */
    public fun header(name: String): String? = headers.firstOrNull { it.first == name.lowercase() }?.second

    /** The caller's id of the request; empty if the header is absent. */
    public val attemptId: String get() = header("X-Buckthornbay-Attempt-Id").orEmpty()

    /** Id of the upstream that the router intended to reach. */
    public val expectedUpstream: String? get() = header("X-Buckthornbay-Expect-Instance")
}

/**
 * A request to a [ScriptedUpstream] together with the means to respond to it.
 *
 * @property number ordinal of the request at the upstream, starting at 1.
 */
public class ScriptedExchange(public val request: ScriptedRequest, public val number: Int, private val socket: Socket) {
    /** Writes [text] to the connection unchanged. */
    public fun write(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
        socket.getOutputStream().flush()
    }

    /** Sends a response with [status], the [requiredHeaders], the header lines [more] and [body]. */
    public fun answer(status: String = "200 OK", body: String = "ok", more: String = "", signed: Boolean = true) {
        write("HTTP/1.1 $status\r\n${requiredHeaders(signed)}${more}Content-Length: ${body.length}\r\n\r\n$body")
    }

    /** Rejects the request and states that it was not run, so that it is safe to retry. */
    public fun reject(status: String = "503 Service Unavailable") {
        answer(status, more = "X-Buckthornbay-Not-Run: 1\r\n", signed = false)
    }

    /** Returns the header lines that a valid response must have: the attempt id and, if [signed], the upstream's signature. */
    public fun requiredHeaders(signed: Boolean = true): String {
        val signature = if (signed) "X-Buckthornbay-Server-Seal: seal-$number\r\n" else ""
        return "X-Buckthornbay-Attempt-Id: ${request.attemptId}\r\n$signature"
    }

    /** Closes the connection gracefully. */
    public fun close() {
        socket.close()
    }

    /** Resets the connection. */
    public fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Returns whether the peer closed or reset the connection within [millis] milliseconds. */
    public fun wasClosedWithin(millis: Int): Boolean {
        socket.soTimeout = millis
        return try {
            socket.getInputStream().read() < 0
        } catch (_: java.net.SocketTimeoutException) {
            false
        } catch (_: IOException) {
            true
        }
    }
}

/** An HTTP server on loopback that passes each request to [script], which writes a valid or faulty response. */
public class ScriptedUpstream(private val script: (ScriptedExchange) -> Unit) : AutoCloseable {
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** The requests received so far, oldest first. */
    public val requests: CopyOnWriteArrayList<ScriptedRequest> = CopyOnWriteArrayList()

    private val listener = LoopbackListener { socket ->
        sockets += socket
        thread(isDaemon = true) { serve(socket) }
    }

    /** The listen address, as `IP:PORT`. */
    public val address: String = listener.address

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        try {
            val lines = HttpLines(BufferedInputStream(socket.getInputStream()))
            while (!socket.isClosed) {
                val request = read(lines) ?: return
                requests += request
                script(ScriptedExchange(request, requests.size, socket))
            }
        } catch (_: IOException) {
            socket.close()
        }
    }

    private fun read(lines: HttpLines): ScriptedRequest? {
        val line = lines.next() ?: return null
        val headers = lines.headers() ?: return null
        val length = headers.firstOrNull { it.first == "content-length" }?.second?.toInt() ?: 0
        return ScriptedRequest(line, headers, lines.bytes(length))
    }
}
