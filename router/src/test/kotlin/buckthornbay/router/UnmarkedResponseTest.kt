package buckthornbay.router

import buckthornbay.protocol.UpstreamId
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests responses of the own interface's upstreams that have no end but that of their connection. */
class UnmarkedResponseTest {
    /** Answers each request with a body without a length; ends like a process that crashes if [crashes]. */
    private fun serve(listener: ServerSocket, crashes: Boolean) = thread(isDaemon = true) {
        while (!listener.isClosed) {
            val socket = try {
                listener.accept()
            } catch (_: java.io.IOException) {
                return@thread
            }
            socket.use {
                val lines = it.getInputStream().bufferedReader()
                while (!lines.readLine().isNullOrEmpty()) Unit
                it.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart".encodeToByteArray())
                if (crashes) listener.close()
            }
        }
    }

    /** Returns the outcome of [send], to which the only plain upstream responds. */
    private fun play(crashes: Boolean, send: suspend TestFleet.(url: String) -> HttpResponse): Result<String> {
        val listener = ServerSocket(0, 8, InetAddress.getLoopbackAddress())
        serve(listener, crashes)
        var outcome: Result<String>? = null
        listener.use {
            val url = "http://127.0.0.1:${listener.localPort}"
            withFleet(
                hosts = 1,
                adapt = { state ->
                    state.copy(upstreams = state.upstreams.map { if (it.id == UpstreamId("plain-1")) it.copy(url = url) else it })
                },
            ) { outcome = runCatching { send(urls[0]).bodyAsText() } }
        }
        return checkNotNull(outcome)
    }

    @Test
    fun aBodyWhoseUpstreamCrashesIsTakenForComplete() {
        assertTrue(play(crashes = true) { url -> client.get("$url/plain/x") { bearerAuth("key-a") } }.isFailure, "repeatable")
        assertTrue(play(crashes = true) { url -> client.post("$url/plain/charges") { bearerAuth("key-a") } }.isFailure, "once")
    }

    @Test
    fun aBodyThatEndsWithItsConnectionIsComplete() {
        assertEquals("part", play(crashes = false) { url -> client.get("$url/plain/x") { bearerAuth("key-a") } }.getOrNull())
    }
}
