package buckthornbay.router

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Ports below those that systems usually give to outgoing connections, which could take a port before the caller binds it. */
private val CANDIDATE_PORTS = 15_000 until 32_768

private val nextCandidate = AtomicInteger(Random.nextInt(CANDIDATE_PORTS.count()))

/**
 * Returns [count] unused ports of the loopback address, none of which this function has returned before in this process.
 *
 * A caller may thus bind the ports after later calls. All candidates are used up after many thousand ports; then they start over.
 * Intended for local runs only: another process may bind a port before the caller does.
 */
public fun freeLoopbackPorts(count: Int): List<Int> = generateSequence(::takeCandidate).filter(::isFree).take(count).toList()

private fun takeCandidate(): Int {
    val index = nextCandidate.getAndUpdate { (it + 1) % CANDIDATE_PORTS.count() }
    return CANDIDATE_PORTS.first + index
}

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
    true
} catch (_: IOException) {
    false
}
