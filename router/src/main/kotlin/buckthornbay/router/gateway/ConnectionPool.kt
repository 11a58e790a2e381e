package buckthornbay.router.gateway

import buckthornbay.core.Clock
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import jdk.net.ExtendedSocketOptions

/** Where a connection comes from. */
internal sealed interface ConnectResult {
    /** A connection, [reused] or new. */
    data class Open(val connection: HttpConnection, val reused: Boolean) : ConnectResult

    /** No connection came about. */
    data class Failed(val reason: String) : ConnectResult
}

/**
 * Idle connections by address, and new ones.
 *
 * It lives on one event loop and is used from there only.
 */
internal class ConnectionPool(private val group: EventLoopGroup, private val clock: Clock, private val settings: PoolSettings) {
    private val idle = HashMap<String, ArrayDeque<HttpConnection>>()
    private val bootstrap = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), settings.probeSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), settings.probeSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), settings.probeCount)

    /**
     * Passes a connection to [address] to [receive], one that was idle for at most [maxIdleMillis] where there is one.
     *
     * A caller that must not meet a connection which the other end is about to close names a short time.
     */
    fun acquire(address: String, maxIdleMillis: Long, receive: (ConnectResult) -> Unit) {
        val reused = takeIdle(address, maxIdleMillis)
        if (reused != null) return receive(ConnectResult.Open(reused, reused = true))
        connect(address, receive)
    }

    /** Closes connections that were idle too long. */
    fun closeStale() {
        val nowMillis = clock.nowMillis()
        idle.values.forEach { queue ->
            queue.removeIf { connection ->
                val stale = !connection.isOpen || nowMillis - connection.idleSinceMillis > usableMillis(connection)
                if (stale) connection.abort()
                stale
            }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    /** Closes all idle connections. */
    fun closeAll() {
        idle.values.flatten().forEach { it.abort() }
        idle.clear()
    }

    private fun takeIdle(address: String, maxIdleMillis: Long): HttpConnection? {
        val queue = idle[address] ?: return null
        val nowMillis = clock.nowMillis()
        while (queue.isNotEmpty()) {
            val connection = queue.removeLast()
            val idleMillis = nowMillis - connection.idleSinceMillis
            if (connection.isOpen && idleMillis <= minOf(maxIdleMillis, usableMillis(connection))) return connection
            connection.abort()
        }
        return null
    }

    private fun usableMillis(connection: HttpConnection): Long = connection.keptMillis - settings.keptMarginMillis

    private fun connect(address: String, receive: (ConnectResult) -> Unit) {
        val connection = HttpConnection(clock) { release(address, it) }
        val target = socketAddressOf(address)
        val handlers = object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) = connection.install(channel)
        }
        bootstrap.clone().handler(handlers).connect(target).addListener(
            ChannelFutureListener { future ->
                if (future.isSuccess) {
                    receive(ConnectResult.Open(connection, reused = false))
                } else {
                    receive(ConnectResult.Failed(future.cause()?.message ?: "no connection to $address"))
                }
            },
        )
    }

    private fun release(address: String, connection: HttpConnection) {
        val queue = idle.getOrPut(address) { ArrayDeque() }
        if (queue.size >= settings.maxIdle) {
            connection.abort()
        } else {
            queue.addLast(connection)
        }
    }
}

/**
 * Bounds of a [ConnectionPool].
 *
 * @property connectTimeoutMillis how long a connection may take to come about, in milliseconds; several round trips between
 * regions and one lost packet's repetition.
 * @property maxIdle idle connections that are kept for one address.
 * @property keptMarginMillis how long before the other end closes an idle connection it is not used any more, in
 * milliseconds.
 * @property probeSeconds time between keep-alive probes, in seconds; with [probeCount] a silent end is found in three
 * seconds.
 */
internal data class PoolSettings(
    val connectTimeoutMillis: Int = 400,
    val maxIdle: Int = 8,
    val keptMarginMillis: Long = 500,
    val probeSeconds: Int = 1,
    val probeCount: Int = 2,
)
