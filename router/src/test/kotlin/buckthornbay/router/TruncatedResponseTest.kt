package buckthornbay.router

import com.github.michaelbull.result.getError
import io.ktor.client.HttpClient
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpMethod
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.runBlocking
import kotlinx.io.IOException
import kotlinx.io.readString
import org.junit.jupiter.api.extension.ExtendWith
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests that no client of the own interface takes a response for complete that ends before the end that its sender marks. */
@ExtendWith(KnownRed::class)
class TruncatedResponseTest {
    private val relay = ResponseRelay(silenceMillis = 2_000)

    /** Number of connections on which the upstream got a request. */
    private var requests = 0

    /** Serves [response] to each request and then closes the connection; returns the body if it is taken for complete. */
    private fun bodyTakenForComplete(client: HttpClient, method: HttpMethod, response: String): String? {
        ServerSocket(0, 8, InetAddress.getLoopbackAddress()).use { listener ->
            thread(isDaemon = true) { serve(listener, response) }
            return runBlocking { completeBody(client, method, "http://127.0.0.1:${listener.localPort}/x") }
        }
    }

    private fun serve(listener: ServerSocket, response: String) {
        while (true) {
            val socket = try {
                listener.accept()
            } catch (_: java.io.IOException) {
                return
            }
            socket.use {
                val lines = it.getInputStream().bufferedReader()
                while (!lines.readLine().isNullOrEmpty()) Unit
                requests++
                it.getOutputStream().write(response.encodeToByteArray())
            }
        }
    }

    private suspend fun completeBody(client: HttpClient, requestMethod: HttpMethod, address: String): String? = try {
        client.prepareRequest {
            method = requestMethod
            url(address)
        }.execute { response ->
            val to = ByteChannel(autoFlush = true)
            val failure = relay.relayBytes(response.bodyAsChannel(), to).getError()
            to.flushAndClose()
            if (failure == null) to.readRemaining().readString() else null
        }
    } catch (_: IOException) {
        null
    }

    private fun assertNoneTakenForComplete(client: HttpClient, method: HttpMethod) {
        val taken = TRUNCATED.mapValues { (_, response) -> bodyTakenForComplete(client, method, response) }.filterValues {
            it !=
                null
        }
        assertEquals(emptyMap(), taken)
        assertEquals("ab", bodyTakenForComplete(client, method, "${CHUNKS}2\r\nab\r\n0\r\n\r\n"))
        assertEquals("ab", bodyTakenForComplete(client, method, "${HEAD}Content-Length: 2\r\n\r\nab"))
    }

    @Test
    fun aTruncatedResponseToARepeatableRequestIsTakenForComplete() =
        HostClients().use { assertNoneTakenForComplete(it.pooled, HttpMethod.Get) }

    @Test
    fun aTruncatedResponseToAnUnrepeatableRequestIsTakenForComplete() =
        HostClients().use { assertNoneTakenForComplete(it.unpooled, HttpMethod.Post) }

    /** An upstream that closes a connection without a response may have run the request. */
    @Test
    fun anUnrepeatableRequestIsSentAgainByTheClient() = HostClients().use { clients ->
        for (method in listOf(HttpMethod.Get, HttpMethod.Put, HttpMethod.Post)) {
            requests = 0
            assertEquals(null, bodyTakenForComplete(clients.unpooled, method, ""))
            assertEquals(1, requests, "$method")
        }
        requests = 0
        val rejection = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nContent-Length: 2\r\n\r\nno"
        assertEquals("no", bodyTakenForComplete(clients.unpooled, HttpMethod.Get, rejection))
        assertEquals(1, requests, "a rejection that names no pause")
    }

    private companion object {
        const val HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
        const val CHUNKS = "${HEAD}Transfer-Encoding: chunked\r\n\r\n"

        val TRUNCATED = mapOf(
            "no bytes" to "",
            "in the status line" to "HTTP/1.1 200",
            "after the status line" to "HTTP/1.1 200 OK\r\n",
            "in the name of a header" to "HTTP/1.1 200 OK\r\nContent-Le",
            "in the value of a header" to "HTTP/1.1 200 OK\r\nContent-Type: te",
            "after a header" to HEAD,
            "before the empty line of the head" to "${HEAD}Content-Length: 0\r\n",
            "after an interim response" to "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
            "before the body" to "${HEAD}Content-Length: 4\r\n\r\n",
            "in the body" to "${HEAD}Content-Length: 4\r\n\r\nab",
            "before the first chunk" to CHUNKS,
            "in a chunk size" to "${CHUNKS}2",
            "in a chunk" to "${CHUNKS}4\r\nab",
            "after a chunk" to "${CHUNKS}2\r\nab",
            "between two chunks" to "${CHUNKS}2\r\nab\r\n",
            "in the last chunk" to "${CHUNKS}2\r\nab\r\n0\r\n",
            "in a trailer" to "${CHUNKS}2\r\nab\r\n0\r\nX-Sum: 1",
            "after a trailer" to "${CHUNKS}2\r\nab\r\n0\r\nX-Sum: 1\r\n",
        )
    }
}
