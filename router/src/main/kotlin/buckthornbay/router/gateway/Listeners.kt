package buckthornbay.router.gateway

import buckthornbay.core.Clock
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec

/** The sockets on which a host listens. */
internal class Listeners(private val group: EventLoopGroup, private val clock: Clock) {
    private val channels = ArrayList<Channel>()

    /** Listens on [address], whose requests go to [handler]. */
    fun listen(address: String, handler: RequestHandler) {
        val local = socketAddressOf(address)
        val bootstrap = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readsToTheEnd())
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        val connection = CallerConnection(handler, clock)
                        channel.pipeline().addLast(ByteWatch(connection), HttpServerCodec(DECODER_CONFIG), connection)
                    }
                },
            )
        channels += bootstrap.bind(local).sync().channel()
    }

    /** Takes no new connections; those that are open go on. */
    fun close() {
        channels.forEach { it.close() }
    }

    /** Tells a connection that bytes arrived before they make up a request. */
    private class ByteWatch(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            connection.bytesArrived()
            ctx.fireChannelRead(msg)
        }
    }

    /** Reads until nothing is left, so that the end of a connection is seen together with what was sent before it. */
    private fun readsToTheEnd(): RecvByteBufAllocator =
        AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS)

    private companion object {
        /** Reads of one connection before others have their turn. */
        const val MAX_READS = 16

        /** Connections that wait to be accepted; a burst of all callers of a zone. */
        const val BACKLOG = 1_024

        /** Unsent bytes of one connection at which its source is held back, and at which it goes on. */
        const val HIGH_WATER_BYTES = 65_536
        const val LOW_WATER_BYTES = 16_384
        val DECODER_CONFIG: HttpDecoderConfig = HttpDecoderConfig().setMaxHeaderSize(
            MAX_HEAD_BYTES,
        ).setMaxInitialLineLength(MAX_LINE_BYTES)

        /** Largest head of a request, in bytes; the configurations' usual bound, before one is known. */
        const val MAX_HEAD_BYTES = 16_384
        const val MAX_LINE_BYTES = 8_192
    }
}
