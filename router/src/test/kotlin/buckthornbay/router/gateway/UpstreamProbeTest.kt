package buckthornbay.router.gateway

import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.request.Reachability
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.ZoneId
import buckthornbay.store.SystemClock
import io.netty.channel.Channel
import io.netty.channel.ChannelFactory
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

class UpstreamProbeTest {
    private val loopback = InetAddress.getLoopbackAddress()

    private fun check(port: Int, newChannel: ChannelFactory<Channel> = ChannelFactory { NioSocketChannel() }): Reachability {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        try {
            val eventLoop = group.next()
            val result = CompletableFuture<Reachability>()
            eventLoop.execute {
                val pool = ConnectionPool(eventLoop, SystemClock, PoolSettings(), newChannel)
                UpstreamProbe(pool, eventLoop).check(upstreamAt(port)) { result.complete(it) }
            }
            return result.get(5, TimeUnit.SECONDS)
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        }
    }

    private fun upstreamAt(port: Int) = UpstreamEntry(
        UpstreamId("plain-1"),
        ServiceId("plain"),
        "127.0.0.1:$port",
        ZoneId("zone"),
        slots = 1,
        draining = false,
        startedAtMillis = 1,
        sequence = 1,
    )

    @Test
    fun aPortWithAListenerAcceptsAndOneWithoutRefuses() {
        val listener = ServerSocket(0, 8, loopback)
        assertEquals(Reachability.ACCEPTING, listener.use { check(it.localPort) })
        assertEquals(Reachability.REFUSING, check(listener.localPort))
    }

    /** A process that is busy, or stopped, leaves its queue of connections full. */
    @Test
    fun aListenerThatAnswersNothingIsNotTakenForACrash() = ServerSocket(0, 1, loopback).use { listener ->
        val waiting = List(2) { Socket(loopback, listener.localPort) }
        assertEquals(Reachability.UNKNOWN, check(listener.localPort))
        waiting.forEach { it.close() }
    }

    @Test
    fun aHostWithoutFileDescriptorsTakesNoUpstreamForCrashed() {
        assertEquals(Reachability.UNKNOWN, check(1, ChannelFactory { error("too many open files") }))
    }
}
