package buckthornbay.router

import java.net.InetAddress
import java.net.ServerSocket

/**
 * Returns [count] distinct unused ports of the loopback address.
 *
 * Intended for local runs only: another process may bind a port before the caller does.
 */
public fun freeLoopbackPorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
    return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
}
