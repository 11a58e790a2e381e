package buckthornbay.router

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** Ports below those that systems usually give to outgoing connections, which could take a port before the caller binds it. */
private val CANDIDATE_PORTS = 15_000 until 32_768

/**
 * Returns [count] distinct unused ports of the loopback address.
 *
 * Intended for local runs only: another process may bind a port before the caller does.
 */
public fun freeLoopbackPorts(count: Int): List<Int> = generateSequence {
    Random.nextInt(CANDIDATE_PORTS.first, CANDIDATE_PORTS.last + 1)
}.distinct().filter(::isFree).take(count).toList()

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
    true
} catch (_: IOException) {
    false
}
