package buckthornbay.router

import buckthornbay.store.rejectInvalidResponses
import io.ktor.client.HttpClient
import io.ktor.client.HttpClientConfig
import io.ktor.client.engine.HttpClientEngineConfig
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.plugins.HttpTimeout
import kotlinx.coroutines.Dispatchers
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * The HTTP clients of a host.
 *
 * Those for upstreams fail a response whose end its sender marks and that stops before it.
 */
internal class HostClients : AutoCloseable {
    /** Sends requests that may be sent again, on connections that are reused. */
    val pooled = HttpClient(OkHttp) {
        expectSuccess = false
        engine {
            dispatcher = Dispatchers.IO.limitedParallelism(MAX_CONNECTIONS)
            config {
                useHttp1()
                // Sends a request again whose kept connection the server had closed.
                retryOnConnectionFailure(true)
                connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
            }
        }
        limitConnectTime()
    }

    /** Sends each request once, on a connection of its own. */
    val unpooled = HttpClient(OkHttp) {
        expectSuccess = false
        engine {
            dispatcher = Dispatchers.IO.limitedParallelism(MAX_CONNECTIONS)
            config {
                useHttp1()
                retryOnConnectionFailure(false)
                connectionPool(ConnectionPool(maxIdleConnections = 0, keepAliveDuration = 1, TimeUnit.MILLISECONDS))
            }
        }
        limitConnectTime()
    }

    /** Sends messages to peers in requests without end; it doesn't tell whether their responses are complete. */
    val peerStreams = HttpClient(CIO) {
        expectSuccess = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
        }
        limitConnectTime()
    }

    private fun OkHttpClient.Builder.useHttp1() {
        showFirstResponse()
        rejectInvalidResponses()
        protocols(listOf(Protocol.HTTP_1_1))
        readTimeout(Duration.ZERO)
        writeTimeout(Duration.ZERO)
        dispatcher(
            Dispatcher().apply {
                maxRequests = MAX_CONNECTIONS
                maxRequestsPerHost = MAX_CONNECTIONS
            },
        )
    }

    private fun <T : HttpClientEngineConfig> HttpClientConfig<T>.limitConnectTime() {
        install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS }
    }

    override fun close() {
        pooled.close()
        unpooled.close()
        peerStreams.close()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L

        /** Maximum number of connections of a client; more than a host has requests in progress. */
        const val MAX_CONNECTIONS = 10_000

        /** Number of idle connections that are kept, and for how long in seconds: a few for each upstream and peer. */
        const val MAX_IDLE_CONNECTIONS = 256
        const val KEEP_ALIVE_SECONDS = 30L
    }
}

/**
 * Disables the client's repetitions after a response, and its compression, which hides the length of a response.
 *
 * After 503 with `Retry-After: 0` the client repeats a request whatever its settings are, so it doesn't get to see that header.
 */
private fun OkHttpClient.Builder.showFirstResponse() {
    followRedirects(false)
    addInterceptor { chain ->
        val response = chain.proceed(uncompressed(chain.request()))
        val retryAfter = response.header(HIDDEN_RETRY_AFTER) ?: return@addInterceptor response
        response.newBuilder().removeHeader(HIDDEN_RETRY_AFTER).header(RETRY_AFTER, retryAfter).build()
    }
    addNetworkInterceptor { chain ->
        val response = chain.proceed(chain.request())
        val retryAfter = response.header(RETRY_AFTER) ?: return@addNetworkInterceptor response
        response.newBuilder().removeHeader(RETRY_AFTER).header(HIDDEN_RETRY_AFTER, retryAfter).build()
    }
}

private fun uncompressed(request: Request): Request {
    if (request.header(ACCEPT_ENCODING) != null) return request
    return request.newBuilder().header(ACCEPT_ENCODING, "identity").build()
}

private const val ACCEPT_ENCODING = "Accept-Encoding"
private const val RETRY_AFTER = "Retry-After"
private const val HIDDEN_RETRY_AFTER = "Buckthornbay-Hidden-Retry-After"
