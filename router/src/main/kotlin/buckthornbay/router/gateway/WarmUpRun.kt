package buckthornbay.router.gateway

import arrow.fx.coroutines.resourceScope
import buckthornbay.core.admission.BufferBudget
import buckthornbay.core.wire.WarmUpScript
import buckthornbay.protocol.HostId
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ZoneId
import buckthornbay.router.freeLoopbackPorts
import buckthornbay.store.HttpCall
import buckthornbay.store.SystemClock
import com.github.michaelbull.result.getOrElse
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext

/**
 * Warm-up run of a router against [script] on loopback, from which the JVM records the class archive.
 *
 * A router that starts with the class archive is ready sooner, which matters when all hosts restart at once.
 */
internal class WarmUpRun(private val deployment: Deployment, private val script: WarmUpScript) {
    private val addresses = freeLoopbackPorts(PORT_COUNT).map { "127.0.0.1:$it" }
    private val listen = ListenSettings(addresses[0], addresses[1], addresses[2], addresses[3])

    /** Address of the stand-in for the store and the upstreams. */
    private val standInAddress = addresses.last()

    /** Sends each request of the script [rounds] times and returns the number of successful responses. */
    suspend fun run(rounds: Int): Int = resourceScope {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val listeners = Listeners(group, SystemClock, OpenConnections())
        listeners.listen(standInAddress, HostHandler(deployment.callerInterface, BufferBudget(MAX_BUFFERED_BYTES), ::answer))
        gatewayProcess(settings(), deployment)
        val transport = NettyTransport(ConnectionPool(group.next(), SystemClock, PoolSettings()))
        val answered = withContext(group.next().asCoroutineDispatcher()) { sendRequests(transport, rounds) }
        listeners.close()
        group.shutdownGracefully()
        answered
    }

    private suspend fun sendRequests(transport: NettyTransport, rounds: Int): Int {
        transport.call(listen.readiness, HttpCall("GET", deployment.callerInterface.readinessPath), TIMEOUT_MILLIS)
        transport.call(listen.addresses, HttpCall("GET", deployment.callerInterface.addressesPath), TIMEOUT_MILLIS)
        var answered = 0
        repeat(rounds) { round ->
            for (request in script.requests()) {
                val headers = request.headers.mapValues { (_, value) -> value.replace("rehearsal-", "rehearsal-$round-") }
                val reply = transport.call(listen.callers, HttpCall("POST", request.target, "{}", headers), TIMEOUT_MILLIS)
                if (reply.getOrElse { null }?.status == HttpResponseStatus.OK.code()) answered++
            }
        }
        return answered
    }

    private fun answer(request: ReceivedRequest): HostAnswer {
        val answer = script.answer(request.target, standInAddress) { request.headers[it] }
        val type = answer.headers["Content-Type"].orEmpty()
        return HostAnswer(HttpResponseStatus.OK, answer.body, type, answer.headers)
    }

    private fun settings() = GatewaySettings(
        host = HostId("rehearsal"),
        region = RegionId("region"),
        zone = ZoneId("zone"),
        listen = listen,
        store = StoreSettings(standInAddress),
        bounds = BoundSettings(
            graceSeconds = 1.0,
            retryRatio = 0.2,
            retryWindowSeconds = 10.0,
            retrySlack = 10.0,
            shareWindowSeconds = 4.0,
        ),
        zones = listOf(ZoneSettings(ZoneId("zone"), RegionId("region"))),
    )

    private companion object {
        const val PORT_COUNT = 5

        /** Bound of the bodies that the stand-in receives, in bytes. */
        const val MAX_BUFFERED_BYTES = 1_048_576L
        const val TIMEOUT_MILLIS = 1_000L
    }
}
