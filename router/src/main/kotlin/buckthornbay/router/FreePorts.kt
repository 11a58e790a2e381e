package buckthornbay.router

import java.net.InetAddress
import java.net.ServerSocket

/**
 * Returns [count] different ports of the loopback address that nothing listens on.
 *
 * For runs on one machine only: another process may take a port before its user opens it.
 */
public fun freeLoopbackPorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
    return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
}
