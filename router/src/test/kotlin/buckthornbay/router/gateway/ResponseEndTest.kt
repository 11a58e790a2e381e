package buckthornbay.router.gateway

import buckthornbay.core.KnownRed
import buckthornbay.testkit.platform.CallerAnswer
import buckthornbay.testkit.platform.ScriptedExchange
import buckthornbay.testkit.platform.ScriptedUpstream
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import org.junit.jupiter.api.extension.ExtendWith
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Tests what a host makes of the end of a response that only the end of its connection marks. */
@ExtendWith(KnownRed::class)
class ResponseEndTest {
    private fun events(numbers: IntRange) = numbers.joinToString("") { "id: $it\ndata: $it\n\n" }

    private fun ScriptedExchange.begin(more: String = EVENTS) = write("HTTP/1.1 200 OK\r\n${requiredHeaders()}$more\r\n")

    private fun ScriptedExchange.writeChunk(text: String) = write("${text.length.toString(16)}\r\n$text\r\n")

    /**
     * Plays [exchange] at an upstream of [service] that is known to leave, [leave], while it answers, and that is gone
     * afterwards; returns the response to a request for [path].
     */
    private fun playLeaving(
        path: String,
        service: String,
        leave: suspend GatewayFixture.(ScriptedUpstream) -> Unit,
        exchange: ScriptedExchange.() -> Unit,
    ): CallerAnswer {
        var answer: CallerAnswer? = null
        GatewayFixture.run {
            val begun = CountDownLatch(1)
            val left = CountDownLatch(1)
            lateinit var leaving: ScriptedUpstream
            leaving = upstream("$service-leaving", service) {
                begun.countDown()
                left.await(LIMIT_S, TimeUnit.SECONDS)
                it.exchange()
                leaving.close()
            }
            awaitReady()
            coroutineScope {
                val call = async(Dispatchers.IO) { call(request(path, method = "POST", body = "a")) }
                async(Dispatchers.IO) { begun.await(LIMIT_S, TimeUnit.SECONDS) }.await()
                leave(leaving)
                left.countDown()
                answer = call.await()
            }
        }
        return checkNotNull(answer)
    }

    private suspend fun GatewayFixture.drain(id: String, service: String, upstream: ScriptedUpstream) {
        register(id, service, upstream.address, state = "draining", sequence = 2)
        awaitReady()
    }

    /** An upstream that has drained ends its process right after its last response. */
    @Test
    fun aWholeBodyOfAnUpstreamThatHasDrainedIsReplacedByAnError() {
        val answer = playLeaving("/charge/x", "plain", { drain("plain-leaving", "plain", it) }) {
            begin(more = "")
            write("ok")
        }
        assertEquals(listOf(200, "ok", true), listOf(answer.status, answer.body, answer.complete))
    }

    @Test
    fun aWholeStreamOfAnUpstreamThatHasDrainedIsBrokenOff() {
        val answer = playLeaving("/once/x", "models", { drain("models-leaving", "models", it) }) {
            begin()
            write(events(1..3))
        }
        assertEquals(events(1..3), answer.body)
        assertTrue(answer.complete)
    }

    /** Some upstreams don't announce a shutdown: their registration goes, and they finish what they have. */
    @Test
    fun aWholeBodyOfAnUpstreamWhoseRegistrationIsGoneIsReplacedByAnError() {
        val removeAndWait: suspend GatewayFixture.(ScriptedUpstream) -> Unit = {
            store.remove("servers", "plain-leaving")
            GatewayFixture.awaitTrue("the removal is known") { knownRegistrations().isEmpty() }
        }
        val answer = playLeaving("/charge/x", "plain", removeAndWait) {
            begin(more = "")
            write("ok")
        }
        assertEquals(listOf(200, "ok", true), listOf(answer.status, answer.body, answer.complete))
    }

    /** The statement comes with the response itself. */
    @Test
    fun aWholeBodyOfAnUpstreamThatSaysThatItLeavesIsReplacedByAnError() {
        val answer = playLeaving("/charge/x", "plain", {}) {
            begin(more = "Server-Leaving: 1\r\n")
            write("ok")
        }
        assertEquals(listOf(200, "ok", true), listOf(answer.status, answer.body, answer.complete))
    }

    /** A process that is restarted at once, or whose listener a supervisor keeps open, accepts connections all the time. */
    @Test
    fun aStreamThatBreaksOffWithOthersOfItsUpstreamIsTakenForCompleteIfTheUpstreamAcceptsConnections() = GatewayFixture.run {
        val begun = CountDownLatch(CHUNKED + 1)
        upstream("models-restarting", "models") { exchange ->
            if (exchange.request.attemptId == "unframed") exchange.begin() else exchange.begin(EVENTS + CHUNKS)
            if (exchange.request.attemptId == "unframed") exchange.write(events(1..3)) else exchange.writeChunk(events(1..3))
            begun.countDown()
            begun.await(LIMIT_S, TimeUnit.SECONDS)
            exchange.close()
        }
        awaitReady()
        val answers = coroutineScope {
            val ids = List(CHUNKED) { "chunked-$it" } + "unframed"
            ids.map { id -> async(Dispatchers.IO) { id to call(request("/once/x", id, method = "POST", body = "a")) } }
                .associate { it.await() }
        }
        assertEquals(events(1..3), answers.getValue("unframed").body)
        assertEquals(emptySet(), answers.filterValues { it.complete }.keys, "responses that look complete")
    }

    /** The first upstream would have marked the end of the stream, so that an end without a mark may be a break. */
    @Test
    fun aStreamInChunksThatAnUnframedResponseContinuesGetsALastChunkThatNoUpstreamSent() {
        var isFirst = true
        GatewayFixture.run {
            repeat(2) { number ->
                upstream("models-$number", "models") { exchange ->
                    if (isFirst) {
                        isFirst = false
                        exchange.begin(EVENTS + CHUNKS)
                        exchange.writeChunk(events(1..3))
                        Thread.sleep(50)
                        exchange.reset()
                    } else {
                        exchange.begin()
                        exchange.write(events(4..5))
                        exchange.close()
                    }
                }
            }
            awaitReady()
            val answer = call(request("/stream/x", method = "POST", body = "a"))
            assertEquals(events(1..5), answer.body)
            assertFalse(answer.complete, "the upstream may have been cut off after event 5")
        }
    }

    private companion object {
        const val EVENTS = "Content-Type: text/event-stream\r\n"
        const val CHUNKS = "Transfer-Encoding: chunked\r\n"
        const val CHUNKED = 3
        const val LIMIT_S = 5L
    }
}
