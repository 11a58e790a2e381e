package buckthornbay.router.gateway

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerAdapter
import io.netty.channel.ChannelHandlerContext

/** The number of open connections of a host, to callers, peers, upstreams and the store. It is confined to one event loop. */
internal class OpenConnections {
    var count = 0
        private set

    /** Counts [channel] until it is closed. */
    fun add(channel: Channel) {
        count++
        channel.pipeline().addFirst(Counted())
    }

    /** Handlers are removed when their channel has closed, also while the event loop shuts down. */
    private inner class Counted : ChannelHandlerAdapter() {
        override fun handlerRemoved(context: ChannelHandlerContext) {
            count--
        }
    }
}
