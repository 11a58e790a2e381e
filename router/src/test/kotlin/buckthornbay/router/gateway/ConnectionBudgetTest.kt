package buckthornbay.router.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests that a host with few connections left goes on serving callers. */
class ConnectionBudgetTest {
    /**
     * Callers open connections, send a request on each and leave it open; the limit is 100 connections.
     *
     * Each waits for its response before the next one comes, so that no request has to wait for room at the upstream.
     */
    @Test
    fun idleConnectionsKeepAHostFromServing() = GatewayFixture.run(descriptors = 300) {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        val idle = ArrayList<CallerSocket>()
        val answers = List(80) { number ->
            val caller = caller().also { idle += it }
            caller.send(request("/read/x", id = "id-$number"))
            caller.answer()
        }
        assertEquals(80, answers.count { it.status == 200 }, "served")
        assertTrue(answers.count { it.headers["connection"] == "close" } >= 10, "callers are asked to close")
        GatewayFixture.awaitTrue("idle connections are closed") {
            caller(settings.listen.control).use { caller ->
                caller.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                val open = Regex("buckthornbay_connections_open ([0-9.]+)").find(caller.answer().body)?.groupValues?.get(1)
                open != null && open.toDouble() <= 55
            }
        }
        assertEquals(200, call(request("/read/x")).status)
        assertTrue(isReady())
        idle.forEach { it.close() }
    }

    /** The rest of the descriptors is needed for upstreams, peers and the store. */
    @Test
    fun aHostWithoutConnectionsLeftTakesRequests() = GatewayFixture.run(descriptors = 300) {
        val upstream = upstream("plain-1", "plain") { exchange ->
            Thread.sleep(300)
            exchange.answer()
        }
        awaitReady()
        val crowd = List(200) { number -> caller().also { it.send(request("/read/x", id = "id-$number")) } }
        val statuses = crowd.map { it.answer().status }
        val refused = statuses.count { it == 503 || it == CallerSocket.NO_ANSWER }
        assertEquals(200, refused + statuses.count { it == 200 }, "$statuses")
        assertTrue(refused > 0 && upstream.requests.size <= 200 - refused, "$refused refused, ${upstream.requests.size} sent")
        crowd.forEach { it.close() }
        GatewayFixture.awaitTrue("an ordinary request is served") { call(request("/read/x")).status == 200 }
    }
}
