package buckthornbay.router

import buckthornbay.core.Clock
import buckthornbay.core.request.ConnectionEnd
import buckthornbay.core.request.Reachability
import buckthornbay.core.request.ResponseEndDecision
import buckthornbay.protocol.Upstream
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.URI

/** Decides what to make of a response that only the end of its connection ended. */
internal class ResponseEndCheck(private val clock: Clock) {
    /** Returns the decision about a response of [upstream] that has just ended; [isLeaving] as in [ConnectionEnd]. */
    suspend fun decide(upstream: Upstream, isLeaving: Boolean): ResponseEndDecision {
        val endedAtMillis = clock.nowMillis()
        delay(CHECK_DELAY_MILLIS)
        val reachability = withContext(Dispatchers.IO) { reachabilityOf(URI(upstream.url)) }
        return ConnectionEnd(
            endedAtMillis,
            reachability,
            checkedAtMillis = clock.nowMillis(),
            isLeaving,
            hasRestarted = false,
            breaksAtMillis = emptyList(),
        ).decide()
    }

    private fun reachabilityOf(url: URI): Reachability = try {
        val port = url.port.takeIf { it >= 0 } ?: if (url.scheme == "https") HTTPS_PORT else HTTP_PORT
        Socket().use { it.connect(InetSocketAddress(url.host, port), CONNECT_TIMEOUT_MILLIS) }
        Reachability.ACCEPTING
    } catch (_: ConnectException) {
        Reachability.REFUSING
    } catch (_: IOException) {
        Reachability.UNKNOWN
    }

    private companion object {
        /** Time between the end and the check, in milliseconds; a process that ends closes its sockets one by one. */
        const val CHECK_DELAY_MILLIS = 20L
        const val CONNECT_TIMEOUT_MILLIS = (ConnectionEnd.MAX_CHECK_MILLIS - CHECK_DELAY_MILLIS).toInt()
        const val HTTP_PORT = 80
        const val HTTPS_PORT = 443
    }
}
