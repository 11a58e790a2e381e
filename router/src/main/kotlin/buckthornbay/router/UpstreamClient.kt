package buckthornbay.router

import buckthornbay.core.request.FailureKind
import buckthornbay.protocol.Upstream
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.headers
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.request
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import java.net.ConnectException
import java.net.http.HttpConnectTimeoutException

/**
 * The HTTP client for upstreams.
 *
 * An unrepeatable request always uses a new connection of its own, which has never been idle.
 */
internal class UpstreamClient(private val clients: HostClients) {
    /** Starts sending [request] to [upstream]; the returned exchange receives the response head or the kind of failure. */
    fun open(scope: CoroutineScope, upstream: Upstream, request: CallerRequest): UpstreamExchange =
        exchange(scope, if (request.unrepeatable) clients.unpooled else clients.pooled, upstream) {
            method = request.method
            url(upstream.url + request.uri)
            copyHeaders(request.headers)
            if (request.body.isNotEmpty()) setBody(request.body)
        }

    /** Requests the rest of the stream [streamId] from [upstream], after the first [tokensReceived] tokens. */
    fun resume(scope: CoroutineScope, upstream: Upstream, streamId: String, tokensReceived: Int): UpstreamExchange =
        exchange(scope, clients.pooled, upstream) {
            method = HttpMethod.Get
            url("${upstream.url}/v1/streams/$streamId?after=$tokensReceived")
        }

    private fun exchange(
        scope: CoroutineScope,
        client: HttpClient,
        upstream: Upstream,
        build: HttpRequestBuilder.() -> Unit,
    ): UpstreamExchange {
        val head = CompletableDeferred<Result<ResponseHead, FailureKind>>()
        val released = CompletableDeferred<Unit>()
        val job = scope.launch {
            try {
                client.prepareRequest(build).execute { response ->
                    head.complete(headOf(response))
                    released.await()
                }
            } catch (_: ConnectException) {
                head.complete(Err(FailureKind.NOT_CONNECTED))
            } catch (_: HttpConnectTimeoutException) {
                head.complete(Err(FailureKind.NOT_CONNECTED))
            } catch (_: IOException) {
                head.complete(Err(FailureKind.BROKEN_BEFORE_ANSWER))
            }
        }
        return UpstreamExchange(upstream, head, released, job)
    }

    private suspend fun headOf(response: HttpResponse): Result<ResponseHead, FailureKind> = when (response.status) {
        HttpStatusCode.TooManyRequests -> Err(FailureKind.REFUSED_UNREAD)
        else -> Ok(ResponseHead(response.status, response.headers, response.bodyAsChannel(), isFramed(response)))
    }

    private fun isFramed(response: HttpResponse): Boolean {
        val hasNoBody = response.request.method == HttpMethod.Head || response.status in STATUSES_WITHOUT_BODY
        return hasNoBody || HttpHeaders.ContentLength in response.headers || HttpHeaders.TransferEncoding in response.headers
    }

    private fun HttpRequestBuilder.copyHeaders(from: Headers) {
        headers {
            from.forEach { name, values ->
                if (name.lowercase() !in HOP_BY_HOP_HEADERS) values.forEach { append(name, it) }
            }
        }
    }

    internal companion object {
        private val STATUSES_WITHOUT_BODY = setOf(HttpStatusCode.NoContent, HttpStatusCode.NotModified)

        /** Headers that apply to a single connection or to the router itself and are not forwarded; names are in lower case. */
        val HOP_BY_HOP_HEADERS: Set<String> = setOf(
            "authorization",
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ).also { check(HttpHeaders.Host.lowercase() in it) }
    }
}

/** An attempt to get a response from an upstream. */
internal class UpstreamExchange(
    val upstream: Upstream,
    val head: CompletableDeferred<Result<ResponseHead, FailureKind>>,
    private val released: CompletableDeferred<Unit>,
    private val job: Job,
) {
    /** Releases the connection once the complete response has been read. */
    fun finish() {
        released.complete(Unit)
    }

    /** Cancels the attempt. */
    fun cancel() = job.cancel()
}

/**
 * The status and headers of an upstream response, with its unread body.
 *
 * @property isFramed whether the body has a length or chunks, so that its end can't be confused with that of the connection.
 */
internal class ResponseHead(val status: HttpStatusCode, val headers: Headers, val body: ByteReadChannel, val isFramed: Boolean)
