package buckthornbay.router.gateway

import buckthornbay.router.freeLoopbackPorts
import buckthornbay.testkit.platform.CallerAnswer
import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.ScriptedExchange
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Tests what callers see of their responses when the router process is killed.
 *
 * The operating system closes the connections of a killed process in the regular way, which is the end of a response that has
 * neither a length nor chunks.
 */
class KilledHostTest {
    private fun ScriptedExchange.begin(more: String = "") = write("HTTP/1.1 200 OK\r\n${requiredHeaders()}$more\r\n")

    /** Returns what a caller reads of the response to [request] after the router was killed, which happens after [begun]. */
    private fun answerOfKilledHost(
        request: String,
        service: String,
        begun: CountDownLatch,
        script: (ScriptedExchange) -> Unit,
    ): CallerAnswer = runBlocking {
        PlatformStoreServer().use { store ->
            GatewayFixture(store).use { fixture ->
                fixture.manifest()
                fixture.upstream("$service-1", service, script)
                RouterChildProcess(fixture, freeLoopbackPorts(1).single(), listOf("-Xmx128m")).use { process ->
                    GatewayFixture.awaitTrue("the process is ready", limitMillis = 20_000) {
                        runCatching { fixture.isReady() }.getOrDefault(false)
                    }
                    fixture.awaitReady()
                    fixture.caller(receiveBufferBytes = RECEIVE_BUFFER_BYTES).use { caller ->
                        caller.send(request)
                        assertTrue(begun.await(LIMIT_S, TimeUnit.SECONDS), "the upstream got the request")
                        delay(FORWARDING_MILLIS)
                        process.kill()
                        caller.answer()
                    }
                }
            }
        }
    }

    @Test
    fun aStreamWithoutAnEndOfItsOwnLooksCompleteWhenItsHostIsKilled() {
        val begun = CountDownLatch(1)
        val answer = answerOfKilledHost(request("/stream/x", method = "POST", body = "a"), "models", begun) { exchange ->
            exchange.begin("Content-Type: text/event-stream\r\n")
            repeat(EVENTS) { exchange.write("id: ${it + 1}\ndata: x\n\n") }
            begun.countDown()
            Thread.sleep(TimeUnit.SECONDS.toMillis(LIMIT_S))
        }
        assertEquals(200, answer.status)
        assertEquals(EVENTS, answer.body.lines().count { it.startsWith("id: ") }, "events that were passed on")
        assertFalse(answer.complete, "the upstream was still writing events")
    }

    @Test
    fun aPartOfABodyWithoutAnEndOfItsOwnLooksCompleteWhenItsHostIsKilled() {
        val begun = CountDownLatch(1)
        val answer = answerOfKilledHost(request("/read/x"), "plain", begun) { exchange ->
            exchange.begin()
            exchange.writeQuietly("x".repeat(BODY_BYTES))
            exchange.close()
            begun.countDown()
        }
        assertEquals(200, answer.status)
        assertTrue(answer.body.length < BODY_BYTES, "the host held a part of the body when it was killed")
        assertFalse(answer.complete, "${answer.body.length} of $BODY_BYTES bytes")
    }

    private fun ScriptedExchange.writeQuietly(text: String) = try {
        write(text)
    } catch (_: IOException) {
        // The router was killed.
    }

    private companion object {
        const val EVENTS = 3
        const val LIMIT_S = 10L

        /** Time in which the router forwards what the upstream has sent, in milliseconds. */
        const val FORWARDING_MILLIS = 1_000L

        const val RECEIVE_BUFFER_BYTES = 65_536

        /** About the largest body that is accepted; the socket buffers of a caller that doesn't read hold less. */
        const val BODY_BYTES = 4_190_000
    }
}
