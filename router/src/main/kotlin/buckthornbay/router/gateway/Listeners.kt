package buckthornbay.router.gateway

import buckthornbay.core.Clock
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
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

/** Listening sockets of a host. */
internal class Listeners(
    private val group: EventLoopGroup,
    private val clock: Clock,
    private val openConnections: OpenConnections,
) {
    private val channels = ArrayList<Channel>()

    /** Listens on [address] and passes its requests to [handler]. */
    fun listen(address: String, handler: RequestHandler) {
        val local = socketAddressOf(address)
        val bootstrap = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, drainingReadAllocator())
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        openConnections.add(channel)
                        if (handler.rejectsConnections) {
                            channel.close()
                            return
                        }
                        val codec = StrictServerCodec(DECODER_CONFIG)
                        val connection = CallerConnection(handler, clock, codec)
                        channel.pipeline().addLast(ByteArrivalNotifier(connection), codec, connection)
                    }
                },
            )
        channels += bootstrap.bind(local).sync().channel()
    }

    /** Stops accepting connections; open connections stay open. */
    fun close() {
        channels.forEach { it.close() }
    }

    /** A handler that notifies the connection of each arrival of bytes, also before a request is complete. */
    private class ByteArrivalNotifier(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            if ((msg as? ByteBuf)?.isReadable == true) connection.bytesArrived()
            ctx.fireChannelRead(msg)
        }
    }

    /** Reads until the socket is empty, so that a close is noticed together with the bytes that were sent before it. */
    private fun drainingReadAllocator(): RecvByteBufAllocator =
        AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_LOOP)

    private companion object {
        /** Largest number of consecutive reads from one connection before the others are served. */
        const val MAX_READS_PER_LOOP = 16

        /** Length of the accept queue; enough for a burst of all callers of a zone. */
        const val BACKLOG = 1_024

        /** Unsent bytes of one connection above which its source is paused; it resumes below [LOW_WATER_BYTES]. */
        const val HIGH_WATER_BYTES = 65_536
        const val LOW_WATER_BYTES = 16_384
        val DECODER_CONFIG: HttpDecoderConfig = HttpDecoderConfig().setMaxHeaderSize(
            MAX_HEAD_BYTES,
        ).setMaxInitialLineLength(MAX_LINE_BYTES)

        /**
         * Maximum size of a request head, in bytes: the usual configured limit, because the configuration is not known when
         * decoding starts.
         */
        const val MAX_HEAD_BYTES = 16_384
        const val MAX_LINE_BYTES = 8_192
    }
}
