package buckthornbay.router.gateway

import buckthornbay.testkit.platform.ScriptedExchange
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests that an upstream which sends bytes without end occupies a host neither for long nor with much memory. */
class EndlessResponseTest {
    /**
     * @param head beginning of the response; null where nothing valid comes first.
     * @param piece bytes that are repeated.
     * @param timeLimited whether slow bytes end the attempt before the deadline, because they complete nothing.
     */
    private class Row(
        val name: String,
        val piece: String,
        val head: String? = null,
        val path: String = "/read/x",
        val timeLimited: Boolean = true,
    )

    private val rows = listOf(
        Row("blank lines before the head", "\r\n".repeat(100)),
        Row("status line", "x".repeat(200)),
        Row("header lines", "X-Filler: ${"x".repeat(200)}\r\n", head = "HTTP/1.1 200 OK\r\n"),
        Row("informational responses", "HTTP/1.1 100 Continue\r\n\r\n"),
        Row("responses to another attempt", "HTTP/1.1 200 OK\r\nX-Buckthornbay-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n"),
        Row("body without length", "x".repeat(200), head = "HTTP/1.1 200 OK\r\n$REQUIRED\r\n", timeLimited = false),
        Row(
            "chunks",
            "c8\r\n${"x".repeat(200)}\r\n",
            head = "HTTP/1.1 200 OK\r\n${REQUIRED}Transfer-Encoding: chunked\r\n\r\n",
            timeLimited = false,
        ),
        Row(
            "event",
            "x".repeat(200),
            head = "HTTP/1.1 200 OK\r\n${REQUIRED}Content-Type: text/event-stream\r\n\r\ndata: ",
            path = "/stream/x",
        ),
    )

    @Test
    fun aFloodIsCutOffWithinAFewMegabytes() {
        for (row in rows) {
            val (status, sentBytes) = play(row, pauseMillis = 0)
            assertEquals(200, status, "${row.name}: the request is retried")
            assertTrue(sentBytes < MAX_ACCEPTED_BYTES, "${row.name}: $sentBytes bytes were accepted")
        }
    }

    @Test
    fun aTrickleIsCutOffBeforeTheDeadlineOfTheRequest() {
        for (row in rows.filter { it.timeLimited }) {
            val startNanos = System.nanoTime()
            val (status, _) = play(row, pauseMillis = 50)
            val elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000
            assertEquals(200, status, "${row.name}: the request is retried")
            assertTrue(elapsedMillis < 4_000, "${row.name}: the request took $elapsedMillis ms")
        }
    }

    /** Plays [row] on the first request; returns the status that the caller gets and the bytes that were accepted. */
    private fun play(row: Row, pauseMillis: Long): Pair<Int, Long> {
        val sentBytes = CompletableFuture<Long>()
        var status = 0
        GatewayFixture.run {
            upstream("upstream-1", if (row.path.startsWith("/stream")) "models" else "plain") { exchange ->
                if (exchange.number == 1) sentBytes.complete(exchange.sendWithoutEnd(row, pauseMillis)) else exchange.answer()
            }
            awaitReady()
            status = call(request(row.path)).status
        }
        return status to sentBytes.get(SEND_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends until the router closes the connection; returns the number of bytes sent. */
    private fun ScriptedExchange.sendWithoutEnd(row: Row, pauseMillis: Long): Long {
        var sentBytes = 0L
        try {
            row.head?.let { write(it.replace(REQUIRED, requiredHeaders())) }
            while (sentBytes < MAX_SENT_BYTES) {
                val text = if (pauseMillis == 0L) row.piece.repeat(PIECES_PER_WRITE) else row.piece
                write(text)
                sentBytes += text.length
                if (pauseMillis > 0) Thread.sleep(pauseMillis)
            }
        } catch (_: IOException) {
            // The router has closed the connection.
        }
        return sentBytes
    }

    private companion object {
        /** Stands for the headers of a valid response. */
        const val REQUIRED = "{required}"
        const val PIECES_PER_WRITE = 50

        /** Four megabytes of a body, and what the socket buffers of both sides hold. */
        const val MAX_ACCEPTED_BYTES = 16L * 1_048_576

        /** Bound of the test itself, where a router accepts everything. */
        const val MAX_SENT_BYTES = 64L * 1_048_576
        const val SEND_TIMEOUT_SECONDS = 20L
    }
}
