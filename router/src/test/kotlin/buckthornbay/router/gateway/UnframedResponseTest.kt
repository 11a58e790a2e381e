package buckthornbay.router.gateway

import buckthornbay.testkit.platform.CallerAnswer
import buckthornbay.testkit.platform.ScriptedExchange
import buckthornbay.testkit.platform.ScriptedUpstream
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Tests responses that have neither a length nor chunks and end with their connection, and streams that end within an event. */
class UnframedResponseTest {
    private val sixEvents = (1..6).joinToString("") { event(it) }

    private fun event(number: Int) = "id: $number\ndata: $number\n\n"

    private fun ScriptedExchange.beginResponse(more: String = "Content-Type: text/event-stream\r\n") =
        write("HTTP/1.1 200 OK\r\n${requiredHeaders()}$more\r\n")

    private fun ScriptedExchange.events(numbers: IntRange) = numbers.forEach { write(event(it)) }

    /** Streams the events from 1 to 6, or those after the last one that the router has. */
    private fun ScriptedExchange.wholeStream() {
        beginResponse()
        events((request.header("Last-Event-Id")?.toInt() ?: 0) + 1..6)
        close()
    }

    private fun ScriptedExchange.writeChunk(text: String) = write("${text.length.toString(16)}\r\n$text\r\n")

    private fun ScriptedExchange.wholeChunkedStream() {
        beginResponse(CHUNKED_EVENTS)
        writeChunk(((request.header("Last-Event-Id")?.toInt() ?: 0) + 1..6).joinToString("") { event(it) })
        write(LAST_CHUNK)
    }

    /** Plays [first] for the first request at any upstream, and [rest] for the others; returns the caller's answer. */
    private fun play(
        path: String = "/stream/x",
        service: String = "models",
        rest: ScriptedExchange.() -> Unit = { wholeStream() },
        first: ScriptedExchange.() -> Unit,
    ): CallerAnswer {
        var isFirst = true
        var answer: CallerAnswer? = null
        GatewayFixture.run {
            repeat(2) { number ->
                upstream("$service-$number", service) { exchange ->
                    if (isFirst) {
                        isFirst = false
                        exchange.first()
                    } else {
                        exchange.rest()
                    }
                }
            }
            awaitReady()
            answer = call(request(path, method = "POST", body = "a"))
        }
        return checkNotNull(answer)
    }

    private fun assertWhole(answer: CallerAnswer) {
        assertTrue(answer.complete)
        assertEquals(sixEvents, answer.body)
    }

    @Test
    fun aStreamThatEndsWithItsConnectionIsComplete() {
        assertWhole(play { wholeStream() })
        assertWhole(play("/once/x") { wholeStream() })
    }

    @Test
    fun aBodyThatEndsWithItsConnectionIsComplete() = GatewayFixture.run {
        upstream("plain-1", "plain") { exchange ->
            exchange.beginResponse(more = "")
            exchange.write("ok")
            exchange.close()
        }
        awaitReady()
        val answer = call(request("/charge/x", method = "POST", body = "a"))
        assertEquals(listOf(200, "ok", true), listOf(answer.status, answer.body, answer.complete))
    }

    @Test
    fun aStreamThatIsResetBetweenEventsIsResumed() = assertWhole(
        play {
            beginResponse()
            events(1..3)
            Thread.sleep(50)
            reset()
        },
    )

    /** An engine that crashes closes such a connection just like one that has finished. */
    @Test
    fun aStreamWhoseConnectionEndsBeforeItsFirstEventIsNotComplete() {
        assertWhole(
            play {
                beginResponse()
                close()
            },
        )
        val once = play("/once/x") {
            beginResponse()
            close()
        }
        assertEquals(502, once.status)
    }

    @Test
    fun aStreamThatEndsWithinAnEventIsResumedInsteadOfEndedAsComplete() {
        assertWhole(
            play {
                beginResponse()
                events(1..3)
                write("id: 4\nda")
                close()
            },
        )
        val inChunks: ScriptedExchange.() -> Unit = {
            beginResponse(CHUNKED_EVENTS)
            writeChunk(event(1) + "id: 2\nda")
            write(LAST_CHUNK)
        }
        assertWhole(play(rest = { wholeChunkedStream() }, first = inChunks))
        val withUnmarkedEnd = play(first = inChunks)
        assertEquals(sixEvents to false, withUnmarkedEnd.body to withUnmarkedEnd.complete, "no upstream marked its end")
    }

    @Test
    fun blankLinesAfterTheLastEventAreNoEvent() {
        val answer = play {
            beginResponse()
            events(1..6)
            write("\r\n")
            close()
        }
        assertTrue(answer.complete)
        assertEquals(sixEvents + "\r\n", answer.body)
    }

    @Test
    fun aStreamThatCannotBeResumedAndEndsWithinAnEventIsCutAfterItsLastEvent() {
        val answer = play("/once/x") {
            beginResponse()
            events(1..3)
            write("id: 4\nda")
            close()
        }
        assertFalse(answer.complete)
        assertEquals((1..3).joinToString("") { event(it) }, answer.body)
    }

    /** Starts an upstream of [service] that answers with [begin] and then ends like a process that crashes. */
    private fun GatewayFixture.crashingUpstream(service: String, begin: ScriptedExchange.() -> Unit): ScriptedUpstream {
        lateinit var crashing: ScriptedUpstream
        crashing = upstream("$service-crashing", service) { exchange ->
            exchange.begin()
            Thread.sleep(50)
            crashing.close()
        }
        return crashing
    }

    /** A crashed engine closes such a connection between two events just like one that has finished. */
    @Test
    fun aStreamWhoseUpstreamCrashesBetweenEventsIsResumedInsteadOfEndedAsComplete() = GatewayFixture.run {
        crashingUpstream("models") {
            beginResponse()
            events(1..3)
        }
        awaitReady()
        val caller = caller()
        caller.send(request("/stream/x", method = "POST", body = "a"))
        delay(30)
        upstream("models-sound", "models") { it.wholeStream() }
        assertWhole(caller.use { it.answer() })
    }

    @Test
    fun aStreamThatCannotBeResumedIsBrokenOffWhenItsUpstreamCrashesBetweenEvents() = GatewayFixture.run {
        crashingUpstream("models") {
            beginResponse()
            events(1..3)
        }
        awaitReady()
        val answer = call(request("/once/x", method = "POST", body = "a"))
        assertEquals((1..3).joinToString("") { event(it) }, answer.body)
        assertFalse(answer.complete, "there is no last chunk")
    }

    /** The upstream may have been cut off in the middle of the body. */
    @Test
    fun aBodyWhoseUpstreamCrashesIsNotDeliveredAsComplete() = GatewayFixture.run {
        crashingUpstream("plain") {
            beginResponse(more = "")
            write("part of a bo")
        }
        awaitReady()
        assertEquals(502, call(request("/charge/x", method = "POST", body = "a")).status)
    }

    /** The caller would take the part for the whole body of the error. */
    @Test
    fun aPartOfAnErrorResponseWhoseUpstreamCrashesIsDeliveredAsComplete() = GatewayFixture.run {
        crashingUpstream("plain") { write("HTTP/1.1 409 Conflict\r\n${requiredHeaders()}\r\npart of a rea") }
        awaitReady()
        assertEquals(502, call(request("/charge/x", method = "POST", body = "a")).status)
    }

    @Test
    fun aWholeErrorResponseWithoutAnEndOfItsOwnIsReplaced() {
        val answer = play("/charge/x", service = "plain") {
            write("HTTP/1.1 409 Conflict\r\n${requiredHeaders()}\r\nreason")
            close()
        }
        assertEquals(listOf(409, "reason", true), listOf(answer.status, answer.body, answer.complete))
    }

    @Test
    fun aRepeatableRequestWhoseUpstreamCrashesInTheBodyIsRepeated() = GatewayFixture.run {
        crashingUpstream("plain") {
            beginResponse(more = "")
            write("part of a bo")
        }
        awaitReady()
        val caller = caller()
        caller.send(request("/read/x"))
        delay(30)
        upstream("plain-sound", "plain") { it.answer(body = "whole") }
        assertEquals("whole", caller.use { it.answer() }.body)
    }

    /** Under load, many responses end with the crash at once. */
    @Test
    fun noStreamOfManyIsEndedAsCompleteWhenTheUpstreamCrashes() = GatewayFixture.run {
        val begun = CountDownLatch(STREAMS)
        lateinit var crashing: ScriptedUpstream
        crashing = upstream("models-crashing", "models") { exchange ->
            exchange.beginResponse()
            exchange.events(1..3)
            begun.countDown()
            begun.await()
            crashing.close()
        }
        awaitReady()
        val answers = coroutineScope {
            val calls = List(STREAMS) { number ->
                async(Dispatchers.IO) { call(request("/once/x", "id-$number", method = "POST", body = "a")) }
            }
            calls.awaitAll()
        }
        assertEquals(0, answers.count { it.complete && it.status == 200 }, "of $STREAMS streams that were cut off")
    }

    /**
     * A close of the caller's connection would say that the response is complete, also when the host ends while it forwards it.
     */
    @Test
    fun aResponseThatEndsWithItsConnectionIsForwardedWithoutLengthOrChunks() {
        val stream = play { wholeStream() }
        assertEquals("chunked", stream.headers["transfer-encoding"])
        assertEquals(null, stream.headers["connection"], "the connection can serve further requests")
        val body = play("/charge/x", service = "plain") {
            beginResponse(more = "")
            write("ok")
            close()
        }
        assertEquals(listOf("2", null, "ok"), listOf(body.headers["content-length"], body.headers["connection"], body.body))
    }

    private companion object {
        const val STREAMS = 20
        const val CHUNKED_EVENTS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        const val LAST_CHUNK = "0\r\n\r\n"
    }
}
