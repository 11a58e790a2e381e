package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.request.Reachability
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import jdk.net.ExtendedSocketOptions
import java.net.ConnectException

/** Result of [ConnectionPool.acquire]. */
internal sealed interface ConnectResult {
    /** An open connection, either [reused] from the pool or new. */
    data class Open(val connection: HttpConnection, val reused: Boolean) : ConnectResult

    /** The connection could not be established; [isRefused] tells that nothing listens at the address. */
    data class Failed(val reason: String, val isRefused: Boolean = false) : ConnectResult
}

/** Which pooled connections a request may use. */
internal sealed interface ConnectionReuse {
    /**
     * Those that were idle for at most [maxIdleMillis] milliseconds. A short time lowers the risk of using a connection that the
     * server is about to close.
     */
    data class Recent(val maxIdleMillis: Long) : ConnectionReuse

    /** None: the request needs a connection of its own. */
    data object None : ConnectionReuse
}

/**
 * Pool of keep-alive connections by address.
 *
 * It is confined to [eventLoop], on which it also delivers all results.
 */
internal class ConnectionPool(
    private val eventLoop: EventLoop,
    private val clock: Clock,
    private val settings: PoolSettings,
    newChannel: ChannelFactory<Channel> = ChannelFactory { NioSocketChannel() },
    private val openConnections: OpenConnections = OpenConnections(),
) {
    private val idle = HashMap<String, ArrayDeque<HttpConnection>>()
    private val bootstrap = Bootstrap()
        .group(eventLoop)
        .channelFactory(newChannel)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), settings.keepAliveProbeSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), settings.keepAliveProbeSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), settings.keepAliveProbeCount)

    /** Calls [onResult] with a connection to [address]: a pooled one that [reuse] admits, or a new one. */
    fun acquire(address: String, reuse: ConnectionReuse, onResult: (ConnectResult) -> Unit) {
        val pooled = if (reuse is ConnectionReuse.Recent) takeIdle(address, reuse.maxIdleMillis) else null
        if (pooled != null) return onResult(ConnectResult.Open(pooled, reused = true))
        connect(address, onResult)
    }

    /** Opens a connection to [address], which is pooled, and passes to [onResult] whether it was accepted. */
    fun checkReachable(address: String, onResult: (Reachability) -> Unit) = connect(address) { result ->
        when (result) {
            is ConnectResult.Open -> {
                result.connection.release()
                onResult(Reachability.ACCEPTING)
            }
            is ConnectResult.Failed -> onResult(if (result.isRefused) Reachability.REFUSING else Reachability.UNKNOWN)
        }
    }

    /** Closes the connections that have been idle for too long. */
    fun closeStale() {
        val nowMillis = clock.nowMillis()
        idle.values.forEach { queue ->
            queue.removeIf { connection ->
                val stale = !connection.isOpen || nowMillis - connection.idleSinceMillis > reusableMillis(connection)
                if (stale) connection.abort()
                stale
            }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    /** Closes up to [count] idle connections, those of each address that were used last come last. */
    fun closeIdle(count: Int) {
        var left = count
        for (queue in idle.values) {
            while (left > 0 && queue.isNotEmpty()) {
                queue.removeFirst().abort()
                left--
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
            if (connection.isOpen && idleMillis <= minOf(maxIdleMillis, reusableMillis(connection))) return connection
            connection.abort()
        }
        return null
    }

    private fun reusableMillis(connection: HttpConnection): Long = connection.keepAliveMillis - settings.keepAliveMarginMillis

    private fun connect(address: String, onResult: (ConnectResult) -> Unit) {
        val connection = HttpConnection(clock) { release(address, it) }
        val target = try {
            socketAddressOf(address)
        } catch (e: IllegalArgumentException) {
            return onResult(ConnectResult.Failed(e.message.orEmpty()))
        }
        val handlers = object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                openConnections.add(channel)
                connection.install(channel)
            }
        }
        bootstrap.clone().handler(handlers).connect(target).addListener(
            ChannelFutureListener { future ->
                val result = if (future.isSuccess) {
                    ConnectResult.Open(connection, reused = false)
                } else {
                    failureOf(future.cause(), address)
                }
                deliver(result, onResult)
            },
        )
    }

    private fun failureOf(cause: Throwable?, address: String) = ConnectResult.Failed(
        cause?.message ?: "no connection to $address",
        isRefused = cause is ConnectException && cause !is ConnectTimeoutException,
    )

    /** Netty reports on a thread of its own that no channel could be created, for example for lack of file descriptors. */
    private fun deliver(result: ConnectResult, onResult: (ConnectResult) -> Unit) {
        if (eventLoop.inEventLoop()) onResult(result) else eventLoop.execute { onResult(result) }
    }

    private fun release(address: String, connection: HttpConnection) {
        val queue = idle.getOrPut(address) { ArrayDeque() }
        if (queue.size >= settings.maxIdlePerAddress) {
            connection.abort()
        } else {
            queue.addLast(connection)
        }
    }
}

/**
 * Settings of a [ConnectionPool].
 *
 * @property connectTimeoutMillis connect timeout, in milliseconds; several round trips between regions and one retransmission.
 * @property maxIdlePerAddress largest number of idle connections kept for one address.
 * @property keepAliveMarginMillis margin by which an idle connection is dropped before the server's keep-alive timeout, in
 * milliseconds.
 * @property keepAliveProbeSeconds idle time before the first TCP keep-alive probe and time between probes, in seconds.
 * @property keepAliveProbeCount unanswered probes after which the connection is closed; with a probe each second, an
 * unreachable server is detected in three seconds.
 */
internal data class PoolSettings(
    val connectTimeoutMillis: Int = 400,
    val maxIdlePerAddress: Int = 8,
    val keepAliveMarginMillis: Long = 500,
    val keepAliveProbeSeconds: Int = 1,
    val keepAliveProbeCount: Int = 2,
)
