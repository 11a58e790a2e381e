package buckthornbay.soak

import buckthornbay.testkit.platform.LoopbackListener
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A fault that a [FaultProxy] applies to its connections. */
public enum class LinkFault {
    /** Forwards all bytes unchanged. */
    NONE,

    /** Forwards all bytes after a short delay. */
    DELAYED,

    /** Forwards nothing in either direction and keeps connections open. */
    SILENT,

    /** Forwards the bytes of the client and none that the target sends. */
    ONE_WAY,

    /** Closes new connections immediately. */
    REFUSED,
}

/**
 * A loopback TCP proxy in front of [target] that delays or holds back bytes and resets connections.
 *
 * Bytes that a fault holds back are forwarded when it ends: TCP sends lost packets again and never skips any.
 */
public class FaultProxy(private val target: String) : AutoCloseable {
    private class ProxiedConnection(val client: Socket, val server: Socket)

    private val connections = CopyOnWriteArrayList<ProxiedConnection>()

    /** The active fault. */
    @Volatile
    public var fault: LinkFault = LinkFault.NONE

    private val listener = LoopbackListener { client -> if (fault == LinkFault.REFUSED) client.close() else open(client) }

    /** The listen address, as `IP:PORT`. */
    public val address: String = listener.address

    /** Resets every open connection. */
    public fun resetAll() {
        connections.forEach { connection ->
            listOf(connection.client, connection.server).forEach { socket ->
                runCatching { socket.setSoLinger(true, 0) }
                socket.close()
            }
        }
        connections.clear()
    }

    override fun close() {
        listener.close()
        resetAll()
    }

    private fun open(client: Socket) {
        val server = try {
            Socket("127.0.0.1", target.substringAfterLast(':').toInt())
        } catch (_: IOException) {
            client.close()
            return
        }
        connections += ProxiedConnection(client, server)
        thread(isDaemon = true) { forward(client, server, toClient = false) }
        thread(isDaemon = true) { forward(server, client, toClient = true) }
    }

    private fun forward(from: Socket, to: Socket, toClient: Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (fault == LinkFault.DELAYED) Thread.sleep(DELAY_MILLIS)
                while (holdsBack(toClient) && !from.isClosed) Thread.sleep(POLL_MILLIS)
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // Propagates the failure of one side by closing both sockets below.
        }
        from.close()
        to.close()
    }

    private fun holdsBack(toClient: Boolean): Boolean = when (fault) {
        LinkFault.SILENT -> true
        LinkFault.ONE_WAY -> toClient
        else -> false
    }

    private companion object {
        const val BUFFER_BYTES = 16_384
        const val POLL_MILLIS = 5L

        /** Delay of a slow link, in milliseconds; equal to a few round trips between regions. */
        const val DELAY_MILLIS = 60L
    }
}
