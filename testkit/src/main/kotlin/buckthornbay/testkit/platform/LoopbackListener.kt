package buckthornbay.testkit.platform

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** A server socket on the loopback interface; a single accept thread passes each connection to [onAccept]. */
public class LoopbackListener(private val onAccept: (Socket) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** The listen address, as `IP:PORT`. */
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
            onAccept(socket)
        }
    }

    private companion object {
        const val BACKLOG = 64
    }
}
