package buckthornbay.router.gateway

import buckthornbay.store.SystemClock
import io.netty.channel.ChannelFactory
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ConnectionPoolTest {
    private class Outcome(val result: ConnectResult, val onEventLoop: Boolean)

    /** A host that has no file descriptors left can't create a channel. */
    @Test
    fun aConnectionThatCannotBeCreatedFailsOutsideTheEventLoop() {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val eventLoop = group.next()
        try {
            val outcome = CompletableFuture<Outcome>()
            eventLoop.execute {
                val pool = ConnectionPool(eventLoop, SystemClock, PoolSettings(), ChannelFactory { error("too many open files") })
                pool.acquire("127.0.0.1:1", ConnectionReuse.None) { outcome.complete(Outcome(it, eventLoop.inEventLoop())) }
            }
            val seen = outcome.get(5, TimeUnit.SECONDS)
            assertIs<ConnectResult.Failed>(seen.result)
            assertEquals(true, seen.onEventLoop)
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        }
    }
}
