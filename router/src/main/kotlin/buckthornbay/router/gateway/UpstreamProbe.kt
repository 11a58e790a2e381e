package buckthornbay.router.gateway

import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.request.Reachability
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Finds out whether an upstream that closed a connection still accepts new ones.
 *
 * The end of a connection alone doesn't tell: an upstream that crashed closes its connections like one that has finished. Checks
 * of one upstream that fall together share a connection, which goes to the pool.
 */
internal class UpstreamProbe(private val connections: ConnectionPool, private val eventLoop: EventLoop) {
    private val waiting = HashMap<String, MutableList<(Reachability) -> Unit>>()

    /** Checks [upstream] after a short delay and passes the result to [onResult]. */
    fun check(upstream: UpstreamEntry, onResult: (Reachability) -> Unit) {
        val pending = waiting[upstream.address]
        if (pending != null) {
            pending += onResult
            return
        }
        waiting[upstream.address] = mutableListOf(onResult)
        eventLoop.schedule({ connect(upstream.address) }, CHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun connect(address: String) = connections.checkReachable(address) { result ->
        waiting.remove(address).orEmpty().forEach { it(result) }
    }

    private companion object {
        /** Time between a lost connection and the check, in milliseconds; a process that ends closes its sockets one by one. */
        const val CHECK_DELAY_MILLIS = 20L
    }
}
