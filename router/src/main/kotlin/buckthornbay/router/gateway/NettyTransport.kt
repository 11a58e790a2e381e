package buckthornbay.router.gateway

import buckthornbay.store.HttpCall
import buckthornbay.store.HttpFailure
import buckthornbay.store.HttpReply
import buckthornbay.store.HttpTransport
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** The transport for calls to the store and to peers over the connections of [pool]. It is confined to the pool's event loop. */
internal class NettyTransport(private val pool: ConnectionPool) : HttpTransport {
    override suspend fun call(address: String, call: HttpCall, timeoutMillis: Long): Result<HttpReply, HttpFailure> {
        val exchange = Exchange()
        val reuse = if (call.onNewConnection) ConnectionReuse.None else ConnectionReuse.Recent(MAX_IDLE_MILLIS)
        pool.acquire(address, reuse) { exchange.begin(it, request(address, call)) }
        val result = try {
            withTimeoutOrNull(timeoutMillis) { exchange.reply.await() }
        } finally {
            // The call has timed out, or its caller doesn't wait any more.
            if (!exchange.reply.isCompleted) exchange.cancel()
        }
        if (result != null) return result
        return Err(HttpFailure.ResponseLost("no answer from $address within $timeoutMillis ms"))
    }

    private fun request(address: String, call: HttpCall): FullHttpRequest {
        val body = call.body?.let { Unpooled.copiedBuffer(it, Charsets.UTF_8) } ?: Unpooled.EMPTY_BUFFER
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), call.target, body)
        request.headers().set(HttpHeaderNames.HOST, address)
        call.headers.forEach { (name, value) -> request.headers().set(name, value) }
        if (call.body != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        return request
    }

    private class Exchange : ResponseListener {
        val reply = CompletableDeferred<Result<HttpReply, HttpFailure>>()
        private val body = BodyBuffer()
        private var status = 0
        private var headers = emptyMap<String, String>()
        private var connection: HttpConnection? = null
        private var cancelled = false

        fun begin(result: ConnectResult, request: FullHttpRequest) {
            when (result) {
                is ConnectResult.Failed -> {
                    request.release()
                    reply.complete(Err(HttpFailure.NotConnected(result.reason)))
                }
                is ConnectResult.Open -> {
                    if (cancelled) {
                        request.release()
                        result.connection.abort()
                        return
                    }
                    connection = result.connection
                    result.connection.send(request, this)
                }
            }
        }

        fun cancel() {
            cancelled = true
            connection?.abort()
        }

        override fun head(response: HttpResponse): Boolean {
            status = response.status().code()
            headers = response.headers().associate { it.key.lowercase() to it.value }
            return true
        }

        override fun content(bytes: ByteBuf) {
            body.append(bytes)
            if (body.size <= MAX_BODY_BYTES) return
            cancel()
            broken("the response body is longer than $MAX_BODY_BYTES bytes")
        }

        override fun complete(withConnection: Boolean) {
            connection = null
            reply.complete(Ok(HttpReply(status, body.text(), headers)))
        }

        override fun broken(reason: String) {
            connection = null
            reply.complete(Err(HttpFailure.ResponseLost(reason)))
        }
    }

    private class BodyBuffer {
        private val bytes = java.io.ByteArrayOutputStream()

        fun append(piece: ByteBuf) {
            piece.readBytes(bytes, piece.readableBytes())
        }

        val size: Int get() = bytes.size()

        fun text(): String = bytes.toString(Charsets.UTF_8)
    }

    private companion object {
        /** Longest idle time of a connection that is reused, in milliseconds. */
        const val MAX_IDLE_MILLIS = 3_000L

        /** Largest response body of a peer or the store, in bytes; a page of the store holds about one megabyte. */
        const val MAX_BODY_BYTES = 8_388_608
    }
}
