package buckthornbay.soak

import buckthornbay.testkit.platform.LoopbackListener
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.io.IOException
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.assertEquals

class FaultProxyTest {
    private val target = LoopbackListener { accepted -> thread(isDaemon = true) { accepted.use(::sendLines) } }
    private val proxy = FaultProxy(target.address)

    @AfterEach
    fun close() {
        proxy.close()
        target.close()
    }

    /** A soak reported streams with a gap that its own proxy had made: it skipped what was sent during a fault. */
    @ParameterizedTest
    @EnumSource(LinkFault::class, names = ["DELAYED", "SILENT", "ONE_WAY"])
    fun bytesThatAreSentDuringAFaultAreSkipped(fault: LinkFault) {
        Socket("127.0.0.1", proxy.address.substringAfterLast(':').toInt()).use { client ->
            client.soTimeout = READ_TIMEOUT_MILLIS
            val lines = client.getInputStream().bufferedReader()
            val received = MutableList(LINES_BEFORE) { lines.readLine() }
            proxy.fault = fault
            Thread.sleep(FAULT_MILLIS)
            proxy.fault = LinkFault.NONE
            while (received.size < LINES) received += lines.readLine()
            assertEquals(List(LINES) { "$it" }, received)
        }
    }

    /** Sends more lines than the test reads, so that a proxy that skips some is not taken for one that is too slow. */
    private fun sendLines(socket: Socket) {
        try {
            repeat(2 * LINES) { number ->
                socket.getOutputStream().write("$number\n".encodeToByteArray())
                Thread.sleep(INTERVAL_MILLIS)
            }
        } catch (_: IOException) {
            // The test has read what it needs.
        }
    }

    private companion object {
        const val LINES = 40
        const val LINES_BEFORE = 5
        const val INTERVAL_MILLIS = 5L
        const val FAULT_MILLIS = 60L
        const val READ_TIMEOUT_MILLIS = 5_000
    }
}
