package buckthornbay.router.gateway

import buckthornbay.testkit.platform.CallerAnswer
import buckthornbay.testkit.platform.ScriptedExchange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests what callers get when an upstream stops in the head of a response, or sends a head that names no request. */
class TruncatedHeadTest {
    private class Outcome(val answer: CallerAnswer, val sent: Int, val elapsedMillis: Long)

    /** Sends requests for [path] on one connection; an upstream plays [first] for the last of them, and answers all others. */
    private fun play(path: String, answeredBefore: Int = 0, first: ScriptedExchange.() -> Unit): Outcome {
        var outcome: Outcome? = null
        GatewayFixture.run {
            var sent = 0
            val service = if (path.startsWith("/stream") || path.startsWith("/once")) "models" else "plain"
            upstream("$service-1", service) { exchange ->
                sent++
                if (sent == answeredBefore + 1) exchange.first() else exchange.answer(body = BODY, more = EVENTS)
            }
            awaitReady()
            caller().use { caller ->
                repeat(answeredBefore) {
                    caller.send(request(path, "before-$it", method = "POST", body = "a"))
                    assertEquals(BODY, caller.answer().body)
                }
                val startNanos = System.nanoTime()
                caller.send(request(path, method = "POST", body = "a"))
                val answer = caller.answer()
                outcome = Outcome(answer, sent - answeredBefore, (System.nanoTime() - startNanos) / NANOS_PER_MILLI)
            }
        }
        return checkNotNull(outcome)
    }

    /** Texts after which the upstream closes, by the place of the cut; HEAD stands for a head with the headers that all have. */
    private val cuts = mapOf(
        "in the status line" to "HTTP/1.1 200",
        "after the status line" to "HTTP/1.1 200 OK\r\n",
        "in the name of a header" to "HTTP/1.1 200 OK\r\nX-Buck",
        "in the value of a header" to "HEADX-More: val",
        "after a header" to "HEAD",
        "before the empty line" to "HEADContent-Length: 0\r\n",
        "before the empty line of a chunked response" to "HEADTransfer-Encoding: chunked\r\n",
        "after an interim response" to "HTTP/1.1 103 Early Hints\r\n\r\nHEAD",
        "in an interim response" to "HTTP/1.1 103 Early Hints\r\nLink: a\r\n",
        "after a response to another request" to
            "HTTP/1.1 200 OK\r\nX-Buckthornbay-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nokHEAD",
    )

    private fun ScriptedExchange.cut(text: String) {
        write(text.replace("HEAD", "HTTP/1.1 200 OK\r\n${requiredHeaders()}"))
        close()
    }

    @Test
    fun aResponseThatStopsInItsHeadIsTakenForComplete() {
        for (path in listOf("/charge/x", "/once/x")) {
            for ((name, text) in cuts) {
                val outcome = play(path) { cut(text) }
                assertEquals(502 to 1, outcome.answer.status to outcome.sent, "$path, $name")
            }
        }
        for ((name, text) in cuts) {
            val outcome = play("/charge/x", answeredBefore = 1) { cut(text) }
            assertEquals(502 to 1, outcome.answer.status to outcome.sent, "on a kept connection, $name")
        }
    }

    @Test
    fun aRepeatableRequestWhoseResponseStopsInItsHeadIsNotRepeated() {
        for (path in listOf("/read/x", "/stream/x")) {
            for ((name, text) in cuts) {
                val outcome = play(path) { cut(text) }
                assertEquals(listOf(200, BODY, true), outcome.answer.run { listOf(status, body, complete) }, "$path, $name")
                assertEquals(2, outcome.sent, "$path, $name")
            }
        }
    }

    /** What follows such a head can't be attributed, so there is nothing to wait for. */
    @Test
    fun aRequestWaitsForTheEndOfAResponseThatNamesNoRequest() {
        for (path in listOf("/charge/x", "/read/x")) {
            val outcome = play(path) { write("HTTP/1.1 200 OK\r\nX-Buckthornbay-Server-Seal: seal\r\n\r\n") }
            assertEquals(if (path == "/read/x") 200 else 502, outcome.answer.status, path)
            assertTrue(outcome.elapsedMillis < LIMIT_MILLIS, "$path took ${outcome.elapsedMillis} ms")
        }
    }

    private companion object {
        const val BODY = "id: 1\ndata: 1\n\n"
        const val EVENTS = "Content-Type: text/event-stream\r\n"
        const val NANOS_PER_MILLI = 1_000_000L

        /** Half of the time after which a silent upstream loses its requests, in milliseconds. */
        const val LIMIT_MILLIS = 750L
    }
}
