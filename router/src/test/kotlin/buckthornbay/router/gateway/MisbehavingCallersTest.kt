package buckthornbay.router.gateway

import buckthornbay.router.KnownRed
import buckthornbay.router.freeLoopbackPorts
import buckthornbay.testkit.platform.PlatformStoreServer
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.extension.ExtendWith
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Tests that callers which don't stay inside the limits end no router process, and that an ordinary request is answered
 * afterwards.
 *
 * Each test plays a small crowd against a process with little memory, at each of its interfaces.
 */
@ExtendWith(KnownRed::class)
class MisbehavingCallersTest {
    private class Target(val name: String, val address: String, val path: String)

    /** Plays [crowd] at each interface of one process, one after the other, and checks the process after each. */
    private fun play(crowd: (Target) -> List<SocketChannel>) = runBlocking {
        PlatformStoreServer().use { store ->
            val metricsPort = freeLoopbackPorts(1).single()
            GatewayFixture(store).use { fixture ->
                fixture.manifest(BODY_LIMIT_BYTES)
                fixture.upstream("plain-1", "plain") { it.answer() }
                RouterChildProcess(fixture, metricsPort, MEMORY_OPTIONS).use { router ->
                    GatewayFixture.awaitTrue("the process is ready", limitMillis = 20_000) { isReady(fixture) }
                    for (target in targetsOf(fixture, metricsPort)) {
                        val connections = crowd(target)
                        delay(SETTLE_MILLIS)
                        assertServes(fixture, router, target.name)
                        connections.forEach { it.close() }
                    }
                }
            }
        }
    }

    private fun targetsOf(fixture: GatewayFixture, metricsPort: Int): List<Target> = fixture.settings.listen.run {
        listOf(
            Target("a route", callers, "/charge/x"),
            Target("no route", callers, "/nowhere/x"),
            Target("readiness", readiness, "/v1/readyz"),
            Target("addresses", addresses, "/v1/resolve"),
            Target("control", control, "/v1/peers/news"),
            Target("metrics", "127.0.0.1:$metricsPort", "/metrics"),
        )
    }

    private suspend fun assertServes(fixture: GatewayFixture, router: RouterChildProcess, name: String) {
        assertTrue(router.isAlive, "$name: the process has ended")
        GatewayFixture.awaitTrue("$name: ready and an ordinary request is answered", limitMillis = 15_000) {
            isReady(fixture) && runCatching { fixture.call(request("/read/x")).status == 200 }.getOrDefault(false)
        }
        assertTrue("OutOfMemoryError" !in router.log, "$name: the process ran out of memory")
        assertTrue(router.peakMegabytes < MEMORY_MEGABYTES, "$name: ${router.peakMegabytes} MB")
        assertTrue(router.descriptors < MAX_DESCRIPTORS, "$name: ${router.descriptors} descriptors")
    }

    private fun isReady(fixture: GatewayFixture) = runCatching { fixture.isReady() }.getOrDefault(false)

    /** Opens a connection and writes [text] and [repeated] as often as the router takes it, [times] at most, without reading. */
    private fun send(target: Target, text: String, repeated: String = "", times: Int = 0): SocketChannel {
        val connection = SocketChannel.open(InetSocketAddress("127.0.0.1", target.address.substringAfterLast(':').toInt()))
        connection.configureBlocking(false)
        if (writeAll(connection, text)) {
            var sent = 0
            while (sent < times && writeAll(connection, repeated)) sent++
        }
        return connection
    }

    /** Writes [text]; returns false if the router has taken nothing for a while or has closed the connection. */
    private fun writeAll(connection: SocketChannel, text: String): Boolean {
        val bytes = ByteBuffer.wrap(text.encodeToByteArray())
        var attempts = 0
        try {
            while (bytes.hasRemaining() && attempts < MAX_WRITE_ATTEMPTS) {
                if (connection.write(bytes) > 0) attempts = 0 else Thread.sleep(1).also { attempts++ }
            }
        } catch (_: IOException) {
            return false
        }
        return !bytes.hasRemaining()
    }

    private fun head(target: Target, more: String) = "POST ${target.path} HTTP/1.1\r\nHost: a.example\r\n$more\r\n"

    private fun withLength(target: Target, bytes: Int) = head(target, "Content-Length: $bytes\r\n")

    private fun withChunks(target: Target) = head(target, "Transfer-Encoding: chunked\r\n")

    @Test
    fun headsOfManyShortFieldsEndTheProcess() = play { target ->
        val fields = "a:\r\n".repeat(FIELDS)
        List(CROWD) { send(target, head(target, "${fields}Content-Length: 10\r\n") + "01234") }
    }

    @Test
    fun requestsSentAheadWithoutReadingEndTheProcess() = play { target ->
        val requests = "GET ${target.path} HTTP/1.1\r\nHost: a.example\r\n\r\n".repeat(REQUESTS_PER_WRITE)
        List(AHEAD_CROWD) { send(target, "", requests, AHEAD_WRITES) }
    }

    @Test
    fun bodiesThatStopShortOfTheirEndEndTheProcess() = play { target ->
        val almostAll = "x".repeat(BODY_LIMIT_BYTES - 1)
        List(CROWD) { number ->
            when (number % 2) {
                0 -> send(target, withLength(target, BODY_LIMIT_BYTES) + almostAll)
                else -> send(
                    target,
                    withLength(target, BODY_LIMIT_BYTES),
                    "x".repeat(PIECE_BYTES),
                    BODY_LIMIT_BYTES / PIECE_BYTES - 1,
                )
            }
        }
    }

    @Test
    fun bodiesInChunksOfAByteEndTheProcess() = play { target ->
        List(CROWD) { send(target, withChunks(target), "1\r\nx\r\n".repeat(CHUNKS_PER_WRITE), CHUNK_WRITES) }
    }

    @Test
    fun bodiesOverTheLimitEndTheProcess() = play { target ->
        List(CROWD) { send(target, withLength(target, 1_000_000_000), "x".repeat(PIECE_BYTES), OVER_LIMIT_WRITES) } +
            List(CROWD) { send(target, withChunks(target), "8000\r\n${"x".repeat(0x8000)}\r\n", OVER_LIMIT_WRITES) }
    }

    @Test
    fun headsThatStopShortOfTheirEndEndTheProcess() = play { target ->
        val most = "POST ${target.path} HTTP/1.1\r\nHost: a.example\r\nX: ${"x".repeat(HEAD_BYTES)}"
        List(CROWD * 4) { send(target, most) }
    }

    @Test
    fun connectionsWithoutRequestsEndTheProcess() = play { target -> List(IDLE_CROWD) { send(target, "G") } }

    private companion object {
        /** Less memory than the deploy file gives a process, so that a small crowd is enough. */
        val MEMORY_OPTIONS = listOf("-Xmx48m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        /** Memory of a host on the smallest machines, in megabytes. */
        const val MEMORY_MEGABYTES = 282L

        /** Descriptors of the smallest machines. */
        const val MAX_DESCRIPTORS = 2_069
        const val BODY_LIMIT_BYTES = 1_000_000
        const val CROWD = 150
        const val FIELDS = 3_900
        const val AHEAD_CROWD = 60
        const val AHEAD_WRITES = 200
        const val REQUESTS_PER_WRITE = 100
        const val CHUNKS_PER_WRITE = 1_000
        const val CHUNK_WRITES = 50
        const val PIECE_BYTES = 10_000
        const val OVER_LIMIT_WRITES = 200
        const val HEAD_BYTES = 16_000
        const val IDLE_CROWD = 1_500
        const val SETTLE_MILLIS = 300L
        const val MAX_WRITE_ATTEMPTS = 50
    }
}
