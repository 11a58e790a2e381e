package buckthornbay.router.gateway

import buckthornbay.testkit.platform.CallerAnswer
import buckthornbay.testkit.platform.ScriptedExchange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests what callers get when a stream has begun and broken off, and its resumption gets a faulty answer. */
class ResumptionTest {
    /** An answer to a resumption; a router must not pass on any of its bytes, unless it is the rest of the stream. */
    private class Row(val name: String, val answer: ScriptedExchange.() -> Unit)

    private val rows = listOf(
        Row("error with a text") { answer("500 Internal Server Error", body = ERROR_TEXT) },
        Row("error of the gateway of the upstream") { answer("502 Bad Gateway", body = ERROR_TEXT, signed = false) },
        Row("client error") { answer("404 Not Found", body = ERROR_TEXT) },
        Row("rejection") { reject() },
        Row("rejection that doesn't say that nothing ran") { answer("503 Service Unavailable", body = ERROR_TEXT) },
        Row("error with the type of a stream") { answer("500 Internal Server Error", ERROR_TEXT, more = STREAM_TYPE) },
        Row("200 with another type and a length") { answer(body = ERROR_TEXT, more = "Content-Type: text/plain\r\n") },
        Row("200 without a type, with a length") { answer(body = ERROR_TEXT) },
        Row("200 without a type and a length") {
            write("HTTP/1.1 200 OK\r\n${requiredHeaders()}\r\n$ERROR_TEXT")
            close()
        },
        Row("200 with the type of a stream and a text") { answer(body = ERROR_TEXT, more = STREAM_TYPE) },
        Row("200 unsigned") { answer(body = event(4) + event(5) + event(6), more = STREAM_TYPE, signed = false) },
        Row("an event that leaves a gap") { answer(body = event(5) + event(6), more = STREAM_TYPE) },
        Row("head only") {
            write("HTTP/1.1 200 OK\r\n${requiredHeaders()}$STREAM_TYPE\r\n")
            close()
        },
        Row("no bytes") { close() },
        Row("reset") { reset() },
        Row("bytes that are no answer") {
            write(ERROR_TEXT)
            close()
        },
    )

    /**
     * Breaks a stream after three events, answers [breaks] resumptions by the row, and streams the rest afterwards.
     *
     * Two upstreams serve in turn, as the next one is used for each attempt.
     */
    private fun play(row: Row, breaks: Int): CallerAnswer {
        var attempts = 0
        var answer: CallerAnswer? = null
        GatewayFixture.run(prepare = { manifest { it.copy(attempts = 4) } }) {
            repeat(4) { number ->
                upstream("models-$number", "models") { exchange ->
                    when (attempts++) {
                        0 -> exchange.beginAndBreak()
                        in 1..breaks -> row.answer(exchange)
                        else -> exchange.rest()
                    }
                }
            }
            awaitReady()
            answer = call(request("/stream/x", method = "POST", body = "a"))
        }
        return checkNotNull(answer)
    }

    private fun ScriptedExchange.beginAndBreak() {
        write("HTTP/1.1 200 OK\r\n${requiredHeaders()}${STREAM_TYPE}Transfer-Encoding: chunked\r\n\r\n")
        for (number in 1..3) chunk(event(number))
        Thread.sleep(30)
        reset()
    }

    private fun ScriptedExchange.rest() {
        write("HTTP/1.1 200 OK\r\n${requiredHeaders()}${STREAM_TYPE}Transfer-Encoding: chunked\r\n\r\n")
        for (number in (request.header("Last-Event-Id")?.toInt() ?: 0) + 1..6) chunk(event(number))
        write("0\r\n\r\n")
    }

    private fun ScriptedExchange.chunk(text: String) = write("${text.length.toString(radix = 16)}\r\n$text\r\n")

    /** Callers found the text of an error in the middle of their stream, or a stream that ended as if it were complete. */
    @Test
    fun aFaultyAnswerToAResumptionIsNotPartOfTheStream() {
        for (row in rows) {
            for (breaks in 1..2) {
                val answer = play(row, breaks)
                val name = "${row.name}, $breaks times"
                assertEquals(200, answer.status, name)
                val isWhole = answer.complete && answer.body == WHOLE
                val isBrokenOff = !answer.complete && answer.body == BEGINNING
                assertTrue(isWhole || isBrokenOff, "$name: complete=${answer.complete} body=${answer.body}")
            }
        }
    }

    private companion object {
        const val ERROR_TEXT = "internal error: no such thing\n\nid: 4\n"
        const val STREAM_TYPE = "Content-Type: text/event-stream\r\n"
        val BEGINNING = (1..3).joinToString("") { event(it) }
        val WHOLE = (1..6).joinToString("") { event(it) }

        fun event(number: Int) = "id: $number\ndata: $number\n\n"
    }
}
