package buckthornbay.router.gateway

import buckthornbay.testkit.platform.ScriptedExchange
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests that a host gives back the memory of each body, however its request ends. */
class BufferReleaseTest {
    private class Row(val name: String, val path: String, val status: Int, val answers: List<ScriptedExchange.() -> Unit>)

    private val error: ScriptedExchange.() -> Unit = { answer("500 Internal Server Error", body = "x".repeat(500)) }
    private val cut: ScriptedExchange.() -> Unit = {
        write("HTTP/1.1 200 OK\r\n${requiredHeaders()}Content-Length: 900\r\n\r\n${"x".repeat(500)}")
        close()
    }

    private val rows = listOf(
        Row("answered", "/read/x", 200, listOf { answer() }),
        Row("answered after an error", "/read/x", 200, listOf(error, { answer() })),
        Row("ended with the second error", "/read/x", 500, listOf(error, error)),
        Row("cut off after an error", "/read/x", 500, listOf(error, cut)),
        Row("streamed after an error", "/stream/x", 200, listOf(error, { stream() })),
        Row("rejected after an error", "/read/x", 500, listOf(error, { reject() })),
        Row("cut off", "/charge/x", 502, listOf(cut)),
        Row("without a signature", "/charge/x", 502, listOf { answer(signed = false) }),
    )

    private fun ScriptedExchange.stream() {
        val events = "id: 1\ndata: 1\n\n"
        answer(body = events, more = "Content-Type: text/event-stream\r\n")
    }

    /** Errors that were kept for the caller were never given back when a later attempt was answered. */
    @Test
    fun aHostHoldsNoBodyAfterItsRequestHasEnded() {
        for (row in rows) {
            GatewayFixture.run {
                var attempts = 0
                val service = if (row.path.startsWith("/stream")) "models" else "plain"
                repeat(2) { number -> upstream("$service-$number", service) { row.answers[attempts++ % row.answers.size](it) } }
                awaitReady()
                repeat(REQUESTS) { number ->
                    attempts = 0
                    assertEquals(row.status, call(request(row.path, "id-$number", "POST", "a")).status, row.name)
                }
                assertEquals(0.0, bufferedBytes(), "${row.name}: bytes held after $REQUESTS requests")
            }
        }
    }

    private fun GatewayFixture.bufferedBytes(): Double = caller(settings.listen.control).use { caller ->
        caller.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        caller.answer().body.lines().first { it.startsWith("buckthornbay_buffered_bytes ") }.substringAfter(' ').toDouble()
    }

    private companion object {
        const val REQUESTS = 10
    }
}
