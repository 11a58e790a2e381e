package buckthornbay.router.gateway

import buckthornbay.core.wire.CallerInterface
import buckthornbay.platform.PlatformInterface
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Tests the gateway's handling of malformed requests, slow or disconnecting callers, and forwarded headers. */
class CallerContractTest {
    private class Row(val name: String, val sent: String, val status: Int)

    private val head = "POST /charge/x HTTP/1.1\r\nHost: a.example\r\nX-Buckthornbay-Attempt-Id: id\r\n" +
        "Authorization: Bearer key-1\r\n"

    /** Requests that are ambiguous (request smuggling), invalid or unauthorised; none may reach an upstream. */
    private val rows = listOf(
        Row("length and chunks", "${head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        Row("two lengths", "${head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        Row("two equal lengths", "${head}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        Row("a length with a sign", "${head}Content-Length: +3\r\n\r\nabc", 400),
        Row("a malformed chunk size", "${head}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", 400),
        Row("an unknown coding", "${head}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        Row("a coding hidden by a space", "${head}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400),
        Row("no host", "GET /read/x HTTP/1.1\r\nX-Buckthornbay-Attempt-Id: id\r\n\r\n", 400),
        Row("two hosts", "GET /read/x HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n", 400),
        Row("no attempt id", "GET /read/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n\r\n", 400),
        Row("an absolute target", "GET http://a.example/read/x HTTP/1.1\r\nHost: a.example\r\n\r\n", 400),
        Row("HTTP/1.0", "GET /read/x HTTP/1.0\r\nHost: a.example\r\n\r\n", 505),
        Row("a body over the limit", "${head}Content-Length: 10001\r\n\r\n${"x".repeat(10_001)}", 413),
        Row("a head over the limit", "${head}X-Long: ${"x".repeat(20_000)}\r\n\r\n", 431),
        Row("a deadline that is no number", "${head}X-Buckthornbay-Deadline-Ms: soon\r\n\r\n", 400),
        Row("an unknown key", request("/read/x").replace("key-1", "key-9"), 401),
        Row("no key", request("/read/x").replace("Authorization: Bearer key-1\r\n", ""), 401),
        Row("an unknown path", request("/other/x"), 404),
    )

    @Test
    fun invalidRequestIsRejectedAndReachesNoUpstream() = GatewayFixture.run {
        val upstream = upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        for (row in rows) {
            val answer = call(row.sent)
            assertEquals(row.status, answer.status, row.name)
        }
        assertEquals(0, upstream.requests.size, upstream.requests.joinToString { it.line })
    }

    @Test
    fun connectionIsClosedAfterMalformedRequest() = GatewayFixture.run {
        awaitReady()
        for (row in rows.filter { it.status == 400 && "deadline" !in it.name && "attempt" !in it.name }) {
            caller().use { caller ->
                caller.send(row.sent)
                caller.answer()
                assertTrue(caller.isClosedWithin(1_000), row.name)
            }
        }
    }

    @Test
    fun connectionsWithSlowHeadsAndIdleConnectionsAreClosed() = GatewayFixture.run {
        awaitReady()
        val slow = List(50) { caller().apply { send("GET /rea") } }
        val unused = caller()
        assertTrue(slow.all { socket -> socket.answer().status.let { it == 408 || it == CallerSocket.NO_ANSWER } })
        assertTrue(unused.isClosedWithin(3_000))
        (slow + unused).forEach { it.close() }
    }

    @Test
    fun upstreamReceivesTheRequestUnchangedWithTheHeadersOfTheRouter() = GatewayFixture.run {
        val upstream = upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        val forged = "X-Buckthornbay-Tenant: other\r\nX-Buckthornbay-Hold: h\r\nX-Buckthornbay-Kv-Backup: 1.2.3.4:5\r\n" +
            "Kv-From: 1.2.3.4:5/h\r\nKv-Fetch: 1.2.3.4:5\r\nX-Buckthornbay-Pin-Ms: 9\r\nX-Own: kept\r\n" +
            "Connection: keep-alive, X-Gone, X-Buckthornbay-Model\r\n" +
            "X-Gone: 1\r\nX-Buckthornbay-Model: m\r\n"
        val answer = call(request("/charge/x?q=1&r=%2f", method = "POST", body = "amount=5", more = forged))
        assertEquals(200, answer.status)
        val seen = upstream.requests.single()
        assertEquals("POST /charge/x?q=1&r=%2f HTTP/1.1", seen.line)
        assertEquals("amount=5", seen.body.decodeToString())
        assertEquals("growers", seen.header("X-Buckthornbay-Tenant"))
        assertEquals("plain-1", seen.header("X-Buckthornbay-Expect-Instance"))
        assertEquals("kept", seen.header("X-Own"))
        assertEquals("m", seen.header("X-Buckthornbay-Model"))
        assertTrue(checkNotNull(seen.header("X-Buckthornbay-Deadline-Ms")).toLong() in 1_000..1_800)
        val dropped = listOf("Authorization", "X-Buckthornbay-Hold", "X-Buckthornbay-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Gone")
        dropped.forEach { name -> assertNull(seen.header(name), name) }
    }

    @Test
    fun pipelinedRequestsAreAnsweredInOrder() = GatewayFixture.run {
        upstream("plain-1", "plain") { exchange ->
            if (exchange.number == 1) Thread.sleep(100)
            exchange.answer(body = exchange.request.line)
        }
        awaitReady()
        caller().use { caller ->
            caller.send(request("/read/1", "a") + request("/read/2", "b") + request("/read/3", "c"))
            assertEquals(listOf("/read/1", "/read/2", "/read/3"), List(3) { caller.answer().body.split(' ')[1] })
        }
    }

    @Test
    fun upstreamConnectionIsClosedWhenTheCallerDisconnects() = GatewayFixture.run {
        var closed: Boolean? = null
        upstream("models-1", "models") { closed = it.wasClosedWithin(1_500) }
        awaitReady()
        caller().use { caller ->
            caller.send(request("/stream/x"))
            GatewayFixture.awaitTrue("the request arrived") { closed != null || caller.isOpenAfter(300) }
        }
        GatewayFixture.awaitTrue("the upstream saw its connection close") { closed == true }
    }

    /**
     * Guards against forwarding requests whose callers have disconnected: a busy host, such as one that has just restarted, reads
     * a request and the close of its connection in the same pass. Seen on glenmorrach (mix, seed 123593022029).
     */
    @Test
    fun requestIsNotForwardedIfItsCallerDisconnectedBeforeItWasRead() {
        val slowInterface = object : CallerInterface by PlatformInterface {
            override fun addressResponse(addresses: List<String>, ttlMillis: Long): String {
                Thread.sleep(400)
                return PlatformInterface.addressResponse(addresses, ttlMillis)
            }
        }
        GatewayFixture.run(callerInterface = slowInterface) {
            val upstream = upstream("plain-1", "plain") { it.answer() }
            awaitReady()
            val disconnecting = List(5) { caller() }
            val addressCaller = caller(settings.listen.addresses)
            addressCaller.send("GET /v1/resolve?Name=a.example HTTP/1.1\r\nHost: x\r\n\r\n")
            Thread.sleep(100)
            disconnecting.forEach { it.send(request("/read/x")) }
            disconnecting.forEach { it.close() }
            addressCaller.answer()
            Thread.sleep(300)
            assertEquals(0, upstream.requests.size)
        }
    }

    private fun CallerSocket.isOpenAfter(millis: Long): Boolean {
        Thread.sleep(millis)
        return !isClosedWithin(1)
    }

    @Test
    fun hostWithoutConfigurationAnswers503WithRetryAfter() = GatewayFixture.run(prepare = {}) {
        assertFalse(isReady())
        val answer = call(request("/read/x"))
        assertEquals(503, answer.status)
        assertNotNull(answer.headers["retry-after"])
    }

    @Test
    fun requestWithoutUsableUpstreamIsRefusedImmediately() = GatewayFixture.run {
        awaitReady()
        val startNanos = System.nanoTime()
        val answer = call(request("/charge/x", method = "POST", body = "a"))
        assertEquals(503, answer.status)
        assertNotNull(answer.headers["retry-after"])
        assertTrue(System.nanoTime() - startNanos < 300_000_000, "it took over 300 ms")
    }
}
