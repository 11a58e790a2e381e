package buckthornbay.router.gateway

import kotlinx.coroutines.delay
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

    private companion object {
        const val LEAVING = "Server-Leaving: 1\r\n"
    }
}
