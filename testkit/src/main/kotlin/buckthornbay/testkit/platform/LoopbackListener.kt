package buckthornbay.testkit.platform

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** A listening socket on loopback that passes each connection to [accepted] on a thread of its own, one after the other. */
public class LoopbackListener(private val accepted: (Socket) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** Where connections are taken, as `IP:PORT`. */
    public val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    override fun close() {
        listener.close()
    }

    private fun acceptAll() {
        while (!listener.isClosed) {
            val socket = try {
                listener.accept()
            } catch (_: IOException) {
                return
            }
            accepted(socket)
        }
    }

    private companion object {
        const val BACKLOG = 64
    }
}
