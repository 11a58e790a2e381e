package buckthornbay.router.gateway

import buckthornbay.testkit.platform.ScriptedExchange
import buckthornbay.testkit.platform.tokenCountHeader
import kotlinx.coroutines.delay
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Tests which responses callers get when upstreams fail or misbehave. */
class UpstreamContractTest {
    /**
     * A fault in the response to the first request; later requests get a valid response.
     *
     * @param charge expected status of a non-idempotent request, and how often the upstream receives it.
     * @param read expected status of a repeatable request, and how often the upstream receives it.
     * @param first response to the first request.
     */
    private class Row(
        val name: String,
        val charge: Pair<Int, Int>,
        val read: Pair<Int, Int> = 200 to 2,
        val first: (ScriptedExchange) -> Unit,
    )

    private val rows = listOf(
        Row("body shorter than its Content-Length", charge = 502 to 1) {
            it.write("HTTP/1.1 200 OK\r\n${it.requiredHeaders()}Content-Length: 100\r\n\r\nshort")
            it.close()
        },
        Row("body cut off within a chunk", charge = 502 to 1) {
            it.write("HTTP/1.1 200 OK\r\n${it.requiredHeaders()}Transfer-Encoding: chunked\r\n\r\n50\r\nshort")
            it.close()
        },
        Row("closed without a response", charge = 502 to 1) { it.close() },
        Row("reset without a response", charge = 502 to 1) { it.reset() },
        Row("body without length, then a reset", charge = 502 to 1) {
            it.write("HTTP/1.1 200 OK\r\n${it.requiredHeaders()}Connection: close\r\n\r\npart")
            Thread.sleep(50)
            it.reset()
        },
        Row("not HTTP", charge = 502 to 1) {
            it.write("rubbish rubbish\r\n\r\n")
            it.close()
        },
        Row("success without signature", charge = 502 to 1) { it.answer(signed = false) },
        Row("encoded body", charge = 502 to 1) { it.answer(more = "Content-Encoding: gzip\r\n") },
        Row("not run", charge = 200 to 2) {
            it.answer("503 Service Unavailable", more = "X-Buckthornbay-Not-Run: 1\r\n", signed = false)
        },
        Row("not run, for no request in particular", charge = 502 to 1) {
            it.write("HTTP/1.1 503 Service Unavailable\r\nX-Buckthornbay-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        },
        Row("misdirected, for no request in particular", charge = 502 to 1) {
            it.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
        },
        Row("server error, for no request in particular", charge = 502 to 1) {
            it.write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
        },
        Row("not found, for no request in particular", charge = 502 to 1) {
            it.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        },
        Row("misdirected request", charge = 200 to 2) { it.answer("421 Misdirected Request", signed = false) },
        Row("503 without the not-run header", charge = 502 to 1) { it.answer("503 Service Unavailable") },
        Row("429 without the not-run header", charge = 502 to 1, read = 429 to 1) { it.answer("429 Too Many Requests") },
        Row("signed server error", charge = 500 to 1) { it.answer("500 Internal Server Error") },
        Row("not found", charge = 404 to 1, read = 404 to 1) { it.answer("404 Not Found") },
        Row("informational response first", charge = 200 to 1, read = 200 to 1) {
            it.write("HTTP/1.1 100 Continue\r\n\r\n")
            it.answer()
        },
        Row("response to another attempt first", charge = 200 to 1, read = 200 to 1) {
            it.write("HTTP/1.1 200 OK\r\nX-Buckthornbay-Attempt-Id: other\r\n")
            it.write("X-Buckthornbay-Server-Seal: s\r\nContent-Length: 5\r\n\r\nwrong")
            it.answer()
        },
        Row("body without length, then a regular close", charge = 200 to 1, read = 200 to 1) {
            it.write("HTTP/1.1 200 OK\r\n${it.requiredHeaders()}Connection: close\r\n\r\nok")
            it.close()
        },
    )

    @Test
    fun nonIdempotentRequestsRunAtMostOnceAndInvalidResponsesAreNotForwarded() {
        for (row in rows) expect(row, path = "/charge/x", method = "POST", expected = row.charge)
    }

    @Test
    fun repeatableRequestsAreRetried() {
        for (row in rows) expect(row, path = "/read/x", method = "GET", expected = row.read)
    }

    private fun expect(row: Row, path: String, method: String, expected: Pair<Int, Int>) = GatewayFixture.run {
        val upstream = upstream("plain-1", "plain") { if (it.number == 1) row.first(it) else it.answer() }
        awaitReady()
        val answer = call(request(path, method = method, body = if (method == "POST") "a" else ""))
        assertEquals(expected, answer.status to upstream.requests.size, "${row.name}, $path: ${answer.body}")
        val signed = answer.headers["x-buckthornbay-server-seal"] != null
        assertEquals(answer.status != 502, signed, "${row.name}: only responses of the upstream are signed")
        if (answer.status == 200) assertEquals("ok", answer.body, row.name)
    }

    @Test
    fun bytesAfterACompleteResponseAreNotReadAsTheNextResponse() = GatewayFixture.run {
        upstream("plain-1", "plain") { exchange ->
            exchange.answer(body = exchange.request.line)
            if (exchange.number == 1) exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
        }
        awaitReady()
        caller().use { caller ->
            for (number in 1..5) {
                caller.send(request("/read/$number", "id-$number"))
                assertEquals("GET /read/$number HTTP/1.1", caller.answer().body)
            }
        }
    }

    /**
     * The only upstream rejects a request, gets it again, and writes the rejection once more before it runs the request.
     *
     * The second attempt waits for requests that were sent before, so that the connection of the first one is idle again.
     */
    @Test
    fun aRejectionThatIsWrittenAgainSaysNothingAboutTheNextAttempt() = GatewayFixture.run {
        val first = AtomicReference<ScriptedExchange>()
        val rejected = CountDownLatch(1)
        val upstream = upstream("plain-1", "plain") { exchange ->
            when {
                "slow" in exchange.request.line -> {
                    rejected.await()
                    Thread.sleep(50)
                    exchange.answer(more = "Connection: close\r\n")
                }
                first.compareAndSet(null, exchange) -> {
                    exchange.reject()
                    rejected.countDown()
                }
                else -> {
                    first.get().reject()
                    Thread.sleep(100)
                    exchange.answer()
                }
            }
        }
        awaitReady()
        val others = List(7) { number -> caller().also { it.send(request("/read/slow", "slow-$number")) } }
        GatewayFixture.awaitTrue("the other requests arrived") { upstream.requests.size == others.size }
        val answer = call(request("/charge/x", method = "POST", body = "a"))
        val charges = upstream.requests.count { "charge" in it.line }
        assertEquals(200 to 2, answer.status to charges, answer.body)
        others.forEach { caller -> assertEquals(200, caller.use { it.answer() }.status) }
    }

    private fun ScriptedExchange.beginEvents() =
        write("HTTP/1.1 200 OK\r\n${requiredHeaders()}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")

    private fun ScriptedExchange.chunk(text: String) = write("${text.length.toString(16)}\r\n$text\r\n")

    private fun ScriptedExchange.events(numbers: IntRange) = numbers.forEach { chunk("id: $it\ndata: $it\n\n") }

    @Test
    fun aBrokenStreamResumesOnAnotherUpstreamWithoutGapOrRepetition() = GatewayFixture.run {
        val script: (ScriptedExchange) -> Unit = { exchange ->
            val after = exchange.request.header("Last-Event-Id")?.toInt()
            exchange.beginEvents()
            if (after == null) {
                exchange.events(1..3)
                exchange.chunk("id: 4\nda")
                exchange.reset()
            } else {
                exchange.events(after..6)
                exchange.write("0\r\n\r\n")
            }
        }
        val upstreams = List(2) { upstream("models-$it", "models", script) }
        awaitReady()
        val answer = call(request("/stream/x", method = "POST", body = "a"))
        assertTrue(answer.complete)
        assertEquals((1..6).joinToString("") { "id: $it\ndata: $it\n\n" }, answer.body)
        assertEquals(
            listOf(null, "3"),
            upstreams.flatMap {
                it.requests
            }.map { it.header("Last-Event-Id") }.sortedBy { it ?: "" },
        )
    }

    /** The stream breaks after the maximum queueing time of a new request; the only other usable upstream registers later. */
    @Test
    fun aBrokenStreamWaitsForAnUpstreamThatCanResumeIt() = GatewayFixture.run {
        val breaking: (ScriptedExchange) -> Unit = { exchange ->
            exchange.beginEvents()
            exchange.events(1..2)
            Thread.sleep(400)
            exchange.reset()
        }
        val first = upstream("models-1", "models", breaking)
        awaitReady()
        caller().use { caller ->
            caller.send(request("/stream/x", method = "POST", body = "a"))
            GatewayFixture.awaitTrue("the request arrived") { first.requests.isNotEmpty() }
            register("models-1", "models", first.address, state = "draining", sequence = 2)
            register("models-2", "models", "127.0.0.1:1")
            delay(800)
            upstream("models-3", "models") { exchange ->
                exchange.beginEvents()
                exchange.events(3..4)
                exchange.write("0\r\n\r\n")
            }
            val answer = caller.answer()
            assertTrue(answer.complete)
            assertEquals((1..4).joinToString("") { "id: $it\ndata: $it\n\n" }, answer.body)
        }
    }

    @Test
    fun aResumedStreamWithAGapIsNotForwarded() = GatewayFixture.run {
        val script: (ScriptedExchange) -> Unit = { exchange ->
            exchange.beginEvents()
            exchange.events(if (exchange.request.header("Last-Event-Id") == null) 1..3 else 5..6)
            exchange.reset()
        }
        repeat(2) { upstream("models-$it", "models", script) }
        awaitReady()
        val answer = call(request("/stream/x", method = "POST", body = "a"))
        assertFalse(answer.complete)
        assertEquals((1..3).joinToString("") { "id: $it\ndata: $it\n\n" }, answer.body)
    }

    @Test
    fun aBrokenStreamThatIsNotResumableEndsIncomplete() = GatewayFixture.run {
        val upstream = upstream("models-1", "models") { exchange ->
            exchange.beginEvents()
            exchange.events(1..2)
            exchange.close()
        }
        awaitReady()
        val answer = call(request("/once/x", method = "POST", body = "a"))
        assertFalse(answer.complete)
        assertEquals(1, upstream.requests.size)
    }

    @Test
    fun aStreamThatBreaksBeforeItsFirstEventIsRetried() = GatewayFixture.run {
        val upstream = upstream("models-1", "models") { exchange ->
            exchange.beginEvents()
            if (exchange.number == 1) return@upstream exchange.reset()
            exchange.events(1..2)
            exchange.write("0\r\n\r\n")
        }
        awaitReady()
        assertTrue(call(request("/stream/x", method = "POST", body = "a")).complete)
        assertEquals(2, upstream.requests.size)
    }

    @Test
    fun anEngineGetsTheAddressOfTheBusyEngineThatHoldsTheCachedPrefix() = GatewayFixture.run {
        val engines = List(2) { number ->
            upstream("models-$number", "models") { exchange ->
                exchange.beginEvents()
                exchange.events(1..1)
                exchange.write("0\r\n\r\n")
            }
        }
        awaitReady()
        listOf(30_000, 11_000).forEachIndexed { number, promptTokens ->
            val parts = "X-Buckthornbay-Prefix-Hash: 5c1e07a2:5000,91bd3f0$number:400\r\n"
            val more = parts + tokenCountHeader(promptTokens, answerTokens = 10)
            assertTrue(call(request("/stream/x", "id-$number", method = "POST", body = "a", more = more)).complete)
        }
        val (cacheHolder, other) = engines.sortedBy { engine -> engine.requests.single().attemptId }
        assertEquals(cacheHolder.address, other.requests.single().header("Kv-Fetch"))
    }

    /** The fixture allows a fifth of the requests and 60 more within ten seconds. */
    @Test
    fun eachRequestCountsOnceForTheRetryBudget() = GatewayFixture.run {
        val upstream = upstream("plain-1", "plain") { it.close() }
        awaitReady()
        val requests = 400
        repeat(requests) { call(request("/read/x", "id-$it")) }
        val retries = upstream.requests.size - requests
        assertTrue(retries <= 0.2 * requests + 60, "$retries retries of $requests requests")
        assertTrue(retries > 60, "$retries retries of $requests requests")
    }

    @Test
    fun aRequestEndsAtTheTimeoutOfItsRoute() = GatewayFixture.run {
        upstream("plain-1", "plain") { Thread.sleep(4_000) }
        awaitReady()
        val startNanos = System.nanoTime()
        val answer = call(request("/charge/x", method = "POST", body = "a"))
        assertEquals(504, answer.status)
        assertTrue(System.nanoTime() - startNanos < 2_300_000_000)
        assertNull(answer.headers["x-buckthornbay-server-seal"])
    }
}
