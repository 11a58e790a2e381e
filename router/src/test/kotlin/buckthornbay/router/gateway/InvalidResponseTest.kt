package buckthornbay.router.gateway

import buckthornbay.testkit.platform.CallerAnswer
import buckthornbay.testkit.platform.LoopbackListener
import buckthornbay.testkit.platform.ScriptedExchange
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Tests that no caller gets a response that its upstream broke off while the request was being written, or that is no HTTP. */
class InvalidResponseTest {
    private class Outcome(val answer: CallerAnswer, val sent: Int, val elapsedMillis: Long, val metrics: String)

    /** Sends a request for [path]; an upstream plays [first] for the first one it gets, and answers all others. */
    private fun play(path: String, first: ScriptedExchange.() -> Unit): Outcome {
        var outcome: Outcome? = null
        GatewayFixture.run {
            var sent = 0
            val service = if (path.startsWith("/stream") || path.startsWith("/once")) "models" else "plain"
            upstream("$service-1", service) { exchange ->
                sent++
                if (sent == 1) exchange.first() else exchange.answer(body = BODY, more = EVENTS)
            }
            awaitReady()
            val startNanos = System.nanoTime()
            val answer = call(request(path, method = "POST", body = "a"))
            val elapsedMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
            val metrics = caller(settings.listen.control).use { caller ->
                caller.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                caller.answer().body
            }
            outcome = Outcome(answer, sent, elapsedMillis, metrics)
        }
        return checkNotNull(outcome)
    }

    private fun ScriptedExchange.writeInvalid(text: String) =
        write(text.replace("REQUIRED", requiredHeaders()).replace("\n", "\r\n").replace("\r\r", "\r"))

    @Test
    fun anInvalidResponseIsPassedOnOrWaitedFor() {
        for ((name, text) in INVALID) {
            val charge = play("/charge/x") { writeInvalid(text) }
            assertEquals(502 to 1, charge.answer.status to charge.sent, name)
            assertTrue(charge.elapsedMillis < LIMIT_MILLIS, "$name took ${charge.elapsedMillis} ms")
            assertTrue("buckthornbay_upstream_responses_invalid_total 1.0" in charge.metrics, "$name is not counted")
        }
    }

    @Test
    fun aRepeatableRequestIsNotRepeatedAfterAnInvalidResponse() {
        for ((name, text) in INVALID) {
            val read = play("/read/x") { writeInvalid(text) }
            assertEquals(Triple(200, BODY, 2), Triple(read.answer.status, read.answer.body, read.sent), name)
        }
    }

    @Test
    fun anInvalidResponseIsTakenForAStream() {
        for ((name, text) in INVALID) {
            val stream = play("/stream/x") { writeInvalid(text.replace("REQUIRED", "REQUIRED$EVENTS")) }
            assertEquals(Triple(200, BODY, 2), Triple(stream.answer.status, stream.answer.body, stream.sent), name)
            assertEquals(502, play("/once/x") { writeInvalid(text.replace("REQUIRED", "REQUIRED$EVENTS")) }.answer.status, name)
        }
    }

    /** The upstream reads the beginning of a long request, responds with [response] and ends the connection by [end]. */
    private fun playEarly(
        path: String,
        response: (String) -> String,
        bodyBytes: Int = LONG_BODY_BYTES,
        end: (Socket) -> Unit,
    ): CallerAnswer {
        var answer: CallerAnswer? = null
        GatewayFixture.run(prepare = { manifest(LONG_BODY_BYTES) { it.copy(attempts = 1) } }) {
            LoopbackListener { socket -> thread(isDaemon = true) { respondEarly(socket, response, end) } }.use { listener ->
                register("plain-1", "plain", listener.address)
                register("models-1", "models", listener.address)
                awaitReady()
                answer = call(request(path, method = "POST", body = "a".repeat(bodyBytes)))
            }
        }
        return checkNotNull(answer)
    }

    private fun respondEarly(socket: Socket, response: (String) -> String, end: (Socket) -> Unit) {
        val head = ByteArray(FIRST_BYTES)
        val count = socket.getInputStream().read(head)
        val id = ATTEMPT_ID.find(head.decodeToString(0, maxOf(count, 0)))?.groupValues?.get(1) ?: return socket.close()
        socket.getOutputStream().write(response("X-Buckthornbay-Attempt-Id: $id\r\n").encodeToByteArray())
        socket.getOutputStream().flush()
        Thread.sleep(EARLY_PAUSE_MILLIS)
        end(socket)
    }

    private val ends = mapOf<String, (Socket) -> Unit>(
        "reset" to {
            it.setSoLinger(true, 0)
            it.close()
        },
        "closed" to { it.close() },
    )

    @Test
    fun aPartialResponseWithoutLengthToARequestInProgressIsTakenForComplete() {
        for (path in listOf("/charge/x", "/read/x", "/once/x", "/stream/x")) {
            for ((name, end) in ends) listOf("", EVENTS).forEach { more -> assertBrokenOff(path, name, more, end) }
        }
    }

    /** The operating system takes the whole request long before the upstream has read it. */
    @Test
    fun aPartialResponseWithoutLengthToARequestThatTheUpstreamHasNotReadIsTakenForComplete() {
        for (path in listOf("/charge/x", "/once/x")) {
            for ((name, end) in ends) assertBrokenOff(path, name, more = "", end, BUFFERED_BODY_BYTES)
        }
    }

    private fun assertBrokenOff(
        path: String,
        name: String,
        more: String,
        end: (Socket) -> Unit,
        bodyBytes: Int = LONG_BODY_BYTES,
    ) {
        val answer = playEarly(path, { id -> "HTTP/1.1 200 OK\r\n$id${SEAL}$more\r\n$BODY" }, bodyBytes, end)
        // The events that arrived before the end are passed on at once.
        val isStream = path == "/once/x" || path == "/stream/x"
        assertEquals(if (isStream) 200 else 502, answer.status, "$path, $name, $more")
        if (isStream) assertFalse(answer.complete, "$path, $name, $more")
    }

    /** An upstream may reject a request before it has read the body. */
    @Test
    fun anEarlyRejectionWithALengthIsTakenForBroken() {
        for ((name, end) in ends) {
            val rejection = { id: String -> "HTTP/1.1 413 Too Large\r\n$id${SEAL}Content-Length: 2\r\n\r\nno" }
            val tooLong = playEarly("/charge/x", rejection, end = end)
            assertEquals(413 to "no", tooLong.status to tooLong.body, name)
            val busy = "HTTP/1.1 503 Busy\r\nX-Buckthornbay-Not-Run: 1\r\nContent-Length: 2\r\n"
            assertEquals(503, playEarly("/charge/x", { id -> "$busy$id\r\nno" }, end = end).status, name)
        }
    }

    private companion object {
        const val BODY = "id: 1\ndata: 1\n\n"
        const val EVENTS = "Content-Type: text/event-stream\r\n"
        const val SEAL = "X-Buckthornbay-Server-Seal: seal\r\n"
        const val NANOS_PER_MILLI = 1_000_000L

        /** Half of the time after which a silent upstream loses its requests, in milliseconds. */
        const val LIMIT_MILLIS = 750L
        const val LONG_BODY_BYTES = 4_000_000

        /** Size of a body that fits into the buffers of the sockets on all machines. */
        const val BUFFERED_BODY_BYTES = 100_000
        const val FIRST_BYTES = 500
        const val EARLY_PAUSE_MILLIS = 60L
        val ATTEMPT_ID = Regex("""X-Buckthornbay-Attempt-Id: *(\S+)""", RegexOption.IGNORE_CASE)

        private fun okWith(field: String) = "HTTP/1.1 200 OK\nREQUIRED${field}Content-Length: 2\n\nok"

        private fun status(line: String) = "$line\nREQUIRED" + "Content-Length: 2\n\nok"

        val INVALID = mapOf(
            "status 000" to status("HTTP/1.1 000 No"),
            "status 000 without a length" to "HTTP/1.1 000 No\nREQUIRED\nok",
            "status 099" to status("HTTP/1.1 099 No"),
            "status 20" to status("HTTP/1.1 20 OK"),
            "status 2000" to status("HTTP/1.1 2000 OK"),
            "status 700" to status("HTTP/1.1 700 OK"),
            "status -200" to status("HTTP/1.1 -200 OK"),
            "status 101" to "HTTP/1.1 101 Switching Protocols\nREQUIRED\nok",
            "HTTP/9.9" to status("HTTP/9.9 200 OK"),
            "a blank in a name" to okWith("X Id: 1\n"),
            "a tab in a name" to okWith("X\tId: 1\n"),
            "a control byte in a name" to okWith("X\u0001Id: 1\n"),
            "DEL in a name" to okWith("X\u007fId: 1\n"),
            "a control byte in a value" to okWith("X-Id: 1\u0001\n"),
            "a blank before the colon of a length" to "HTTP/1.1 200 OK\nREQUIRED" + "Content-Length : 2\n\nokay",
            "a blank before the colon of a coding" to "HTTP/1.1 200 OK\nREQUIRED" + "Transfer-Encoding : chunked\n\n2\nok\n0\n\n",
            "a folded line" to "HTTP/1.1 200 OK\nREQUIRED" + "X: 1\n Content-Length: 2\nContent-Length: 2\n\nok",
            "no colon" to okWith("nothing\n"),
            "no name" to okWith(": nothing\n"),
            "two lengths" to okWith("Content-Length: 2\n"),
            "a length and chunks" to
                "HTTP/1.1 200 OK\nREQUIRED" + "Content-Length: 2\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n",
            "a length that is no number" to "HTTP/1.1 200 OK\nREQUIRED" + "Content-Length: +2\n\nok",
            "another coding" to "HTTP/1.1 200 OK\nREQUIRED" + "Transfer-Encoding: gzip, chunked\n\n2\nok\n0\n\n",
            "no HTTP at all" to "SSH-2.0-OpenSSH\n\n",
        )
    }
}
