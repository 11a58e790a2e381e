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

/** Sends requests to upstreams; an unrepeatable request always on a connection of its own that has never been idle. */
internal class UpstreamClient(private val pooled: HttpClient, private val fresh: HttpClient) {
    /** Begins to send [request] to [upstream]; the answer's head, or how it failed, arrives in the returned exchange. */
    fun open(scope: CoroutineScope, upstream: Upstream, request: CallerRequest): UpstreamExchange =
        exchange(scope, if (request.unrepeatable) fresh else pooled, upstream) {
            method = request.method
            url(upstream.url + request.uri)
            copyHeaders(request.headers)
            if (request.body.isNotEmpty()) setBody(request.body)
        }

    /** Asks [upstream] for the rest of the stream [streamId] after the first [passedOn] tokens. */
    fun resume(scope: CoroutineScope, upstream: Upstream, streamId: String, passedOn: Int): UpstreamExchange =
        exchange(scope, pooled, upstream) {
            method = HttpMethod.Get
            url("${upstream.url}/v1/streams/$streamId?after=$passedOn")
        }

    private fun exchange(
        scope: CoroutineScope,
        client: HttpClient,
        upstream: Upstream,
        build: HttpRequestBuilder.() -> Unit,
    ): UpstreamExchange {
        val head = CompletableDeferred<Result<AnswerHead, FailureKind>>()
        val done = CompletableDeferred<Unit>()
        val job = scope.launch {
            try {
                client.prepareRequest(build).execute { response ->
                    head.complete(headOf(response))
                    done.await()
                }
            } catch (_: ConnectException) {
                head.complete(Err(FailureKind.NOT_CONNECTED))
            } catch (_: HttpConnectTimeoutException) {
                head.complete(Err(FailureKind.NOT_CONNECTED))
            } catch (_: IOException) {
                head.complete(Err(FailureKind.BROKEN_BEFORE_ANSWER))
            }
        }
        return UpstreamExchange(upstream, head, done, job)
    }

    private suspend fun headOf(response: HttpResponse): Result<AnswerHead, FailureKind> = when (response.status) {
        HttpStatusCode.TooManyRequests -> Err(FailureKind.REFUSED_UNREAD)
        else -> Ok(AnswerHead(response.status, response.headers, response.bodyAsChannel()))
    }

    private fun HttpRequestBuilder.copyHeaders(from: Headers) {
        headers {
            from.forEach { name, values ->
                if (name.lowercase() !in HOP_HEADERS) values.forEach { append(name, it) }
            }
        }
    }

    internal companion object {
        /** Headers that belong to one connection or to the router itself and are not passed on. */
        val HOP_HEADERS: Set<String> = setOf(
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

/** One attempt at an upstream. */
internal class UpstreamExchange(
    val upstream: Upstream,
    val head: CompletableDeferred<Result<AnswerHead, FailureKind>>,
    private val done: CompletableDeferred<Unit>,
    private val job: Job,
) {
    /** Gives the connection back after the whole answer was read. */
    fun finish() {
        done.complete(Unit)
    }

    /** Breaks the attempt off. */
    fun cancel() = job.cancel()
}

/** The head of an upstream's answer, with the body still to be read. */
internal class AnswerHead(val status: HttpStatusCode, val headers: Headers, val body: ByteReadChannel)
