package buckthornbay.router.gateway

import kotlinx.coroutines.delay
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests what a host does with what an upstream states about itself in its responses. */
class UpstreamNoticeTest {
    private var sequence = 0

    private fun GatewayFixture.read() = call(request("/read/x", "id-${sequence++}"))

    @Test
    fun anUpstreamThatSaysThatItLeavesGetsNoNewRequests() = GatewayFixture.run {
        val leaving = upstream("plain-1", "plain") { it.answer(more = LEAVING) }
        awaitReady()
        assertEquals(200, read().status)
        val other = upstream("plain-2", "plain") { it.answer() }
        awaitReady()
        repeat(20) { assertEquals(200, read().status) }
        assertEquals(1 to 20, leaving.requests.size to other.requests.size)
    }

    @Test
    fun aReadyRegistrationDoesNotBringALeavingUpstreamBack() = GatewayFixture.run {
        val leaving = upstream("plain-1", "plain") { it.answer(more = LEAVING) }
        awaitReady()
        assertEquals(200, read().status)
        register("plain-1", "plain", leaving.address, sequence = 2)
        awaitReady()
        assertEquals(503, read().status)
        store.remove("servers", "plain-1")
        delay(2_000)
        register("plain-1", "plain", leaving.address, sequence = 3)
        awaitReady()
        assertEquals(503, read().status)
        assertEquals(1, leaving.requests.size)
        register("plain-1", "plain", leaving.address, startedAtMillis = 2_000)
        awaitReady()
        assertEquals(200, read().status, "the next incarnation under the same id")
    }

    /** A rejection, an error and a stream tell it as well; a request under way is finished. */
    @Test
    fun allResponsesOfALeavingUpstreamCount() {
        val rejection = "503 Service Unavailable" to LEAVING + "X-Buckthornbay-Not-Run: 1\r\n"
        for ((status, more) in listOf(rejection, "500 Internal Server Error" to LEAVING, "404 Not Found" to LEAVING)) {
            GatewayFixture.run {
                val leaving = upstream("plain-1", "plain") { it.answer(status, more = more) }
                awaitReady()
                read()
                upstream("plain-2", "plain") { it.answer() }
                awaitReady()
                repeat(10) { assertEquals(200, read().status, status) }
                assertEquals(1, leaving.requests.size, status)
            }
        }
    }

    @Test
    fun callersAreRefusedAtOnceWhenTheLastUpstreamLeaves() = GatewayFixture.run {
        val leaving = upstream("plain-1", "plain") { it.answer(more = LEAVING) }
        awaitReady()
        assertEquals(200, read().status)
        val startNanos = System.nanoTime()
        val refused = read()
        assertEquals(503, refused.status)
        assertTrue("retry-after" in refused.headers)
        assertTrue(System.nanoTime() - startNanos < 200_000_000)
        assertEquals(1, leaving.requests.size)
    }

    @Test
    fun onlyTheStatedValueMeansThatAnUpstreamLeaves() = GatewayFixture.run {
        for (value in listOf("0", "", "no", "10")) {
            val upstream = upstream("plain-1", "plain") { it.answer(more = "Server-Leaving: $value\r\n") }
            awaitReady()
            repeat(3) { assertEquals(200, read().status, value) }
            assertEquals(3, upstream.requests.size, value)
        }
    }

    @Test
    fun anUpstreamThatNamesAPauseGetsNoRequestsUntilItEnds() {
        expectPause(NOT_RUN + "Retry-After: 1\r\n")
        expectPause("Retry-After: 1.0\r\n")
        expectPause(NOT_RUN + "Retry-After: 0.2\r\nRetry-After: 1\r\n")
    }

    /** An upstream rejects a request with the header lines [more], which name a pause; it may get two requests before it ends. */
    private fun expectPause(more: String) = GatewayFixture.run {
        val arrivals = CopyOnWriteArrayList<Long>()
        val pausing = upstream("plain-1", "plain") {
            arrivals += System.nanoTime()
            if (it.number == 1) it.answer("503 Service Unavailable", more = more) else it.answer()
        }
        awaitReady()
        caller().use { caller ->
            caller.send(request("/read/x", "first"))
            GatewayFixture.awaitTrue("the request arrived") { arrivals.isNotEmpty() }
            upstream("plain-2", "plain") { it.answer() }
            awaitReady()
            while (System.nanoTime() < arrivals.first() + PAUSE_NANOS) {
                assertEquals(200, read().status, more)
                delay(10)
            }
        }
        val duringPause = arrivals.count { it in arrivals.first() + 1 until arrivals.first() + PAUSE_NANOS }
        assertTrue(duringPause <= 2, "$duringPause requests, $more")
        store.remove("servers", "plain-2")
        GatewayFixture.awaitTrue("the upstream is used after its pause") {
            read()
            pausing.requests.size > 2
        }
    }

    @Test
    fun aShorterPauseDoesNotEndALongerOne() = GatewayFixture.run {
        val arrived = CountDownLatch(2)
        val pausing = upstream("plain-1", "plain") {
            arrived.countDown()
            arrived.await()
            val seconds = if ("long" in it.request.line) "1.5" else "0.1"
            if ("long" !in it.request.line) Thread.sleep(100)
            it.answer("503 Service Unavailable", more = NOT_RUN + "Retry-After: $seconds\r\n")
        }
        awaitReady()
        val callers = listOf("long", "short").map { name -> caller().also { it.send(request("/read/$name", name)) } }
        callers.forEach { caller -> assertEquals(503, caller.use { it.answer() }.status) }
        val before = pausing.requests.size
        delay(600)
        assertEquals(503, read().status)
        assertEquals(before, pausing.requests.size)
    }

    @Test
    fun callersAreRefusedAtOnceUntilTheOnlyUpstreamTakesRequestsAgain() = GatewayFixture.run {
        upstream("plain-1", "plain") { it.answer("503 Service Unavailable", more = NOT_RUN + "Retry-After: 2\r\n") }
        awaitReady()
        read()
        val startNanos = System.nanoTime()
        val answers = List(8) { read() }
        val elapsedSeconds = (System.nanoTime() - startNanos) / 1e9
        assertTrue(elapsedSeconds < 0.5, "$elapsedSeconds s")
        val delays = answers.map { it.headers.getValue("retry-after").toDouble() }
        assertEquals(setOf(503), answers.map { it.status }.toSet())
        assertTrue(delays.all { it in 2.0 - elapsedSeconds - 0.1..2.5 }, "$delays")
        assertTrue(delays.toSet().size > 1, "callers must not all return at the same time: $delays")
    }

    @Test
    fun pausesThatCannotBeReadOrAreNoneAreIgnored() {
        for (value in listOf("0", "-5", "soon", "", "NaN", "Infinity", "Wed, 21 Oct 2026 07:28:00 GMT")) {
            GatewayFixture.run {
                val upstream = upstream("plain-1", "plain") {
                    if (it.number ==
                        1
                    ) {
                        it.answer("503 Service Unavailable", more = NOT_RUN + "Retry-After: $value\r\n")
                    } else {
                        it.answer()
                    }
                }
                awaitReady()
                assertEquals(200, read().status, "'$value'")
                assertEquals(2, upstream.requests.size, "'$value'")
            }
        }
    }

    /** Other responses don't name pauses; a pause that an earlier incarnation named has ended with it. */
    @Test
    fun aPauseBelongsToARejectionAndToOneIncarnation() = GatewayFixture.run {
        val upstream = upstream("plain-1", "plain") {
            when (it.number) {
                1 -> it.answer(more = "Retry-After: 60\r\n")
                2 -> it.answer("503 Service Unavailable", more = NOT_RUN + "Retry-After: 1e300\r\n")
                else -> it.answer()
            }
        }
        awaitReady()
        assertEquals(200, read().status)
        assertEquals(503, read().status)
        assertEquals(2, upstream.requests.size)
        register("plain-1", "plain", upstream.address, startedAtMillis = 2_000)
        awaitReady()
        assertEquals(200, read().status)
    }

    private companion object {
        const val PAUSE_NANOS = 1_000_000_000L
        const val NOT_RUN = "X-Buckthornbay-Not-Run: 1\r\n"
        const val LEAVING = "Server-Leaving: 1\r\n"
    }
}
