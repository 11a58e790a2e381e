package buckthornbay.router

import buckthornbay.protocol.ErrorBody
import buckthornbay.protocol.RequestEnd
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.WireJson
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.io.IOException

/** The connection to the caller of one request. */
internal class Caller(private val call: ApplicationCall, private val id: RequestId) {
    /** Sends a complete upstream response. */
    suspend fun respondBuffered(head: ResponseHead, bytes: ByteArray) {
        copyHeaders(head)
        setEndHeaders(RequestEnd.ANSWERED)
        call.respondBytes(bytes, contentTypeOf(head), head.status)
    }

    /** Sends a streamed response whose body is produced by [write]. */
    suspend fun respondStream(head: ResponseHead, write: suspend (ByteWriteChannel) -> Unit) {
        copyHeaders(head)
        call.response.header(REQUEST_ID_HEADER, id.value)
        call.respondBytesWriter(contentTypeOf(head), head.status) { write(this) }
    }

    /**
     * Ends a started response so that the caller recognises it as incomplete.
     *
     * An event stream ends with an error event: closing its connection abruptly may discard the last event and look like a
     * regular end to the caller.
     *
     * @throws IOException if the response is not an event stream; the server then closes the connection.
     */
    suspend fun abortStream(to: ByteWriteChannel, isEventStream: Boolean) {
        if (!isEventStream) throw IOException("the upstream response is incomplete")
        val body = ErrorBody(RefusalText.of(RequestEnd.FAILED), RequestEnd.FAILED, id.value)
        to.writeStringUtf8("event: error\ndata: ${WireJson.encodeToString(ErrorBody.serializer(), body)}\n\n")
        to.flush()
    }

    /** Sends an error response with the outcome [end] and, unless [retryAfterMillis] is null, a `Retry-After` header. */
    suspend fun fail(message: String, end: RequestEnd, retryAfterMillis: Long?) {
        setEndHeaders(end)
        if (retryAfterMillis != null) call.response.header(HttpHeaders.RetryAfter, secondsOf(retryAfterMillis).toString())
        val body = ErrorBody(message, end, id.value, retryAfterMillis)
        call.respondText(WireJson.encodeToString(ErrorBody.serializer(), body), ContentType.Application.Json, statusOf(end))
    }

    private fun setEndHeaders(end: RequestEnd) {
        call.response.header(REQUEST_ID_HEADER, id.value)
        call.response.header(END_HEADER, end.name.lowercase())
    }

    private fun copyHeaders(head: ResponseHead) {
        head.headers.forEach { name, values ->
            val skipped =
                name.lowercase() in UpstreamClient.HOP_BY_HOP_HEADERS || name.equals(HttpHeaders.ContentType, ignoreCase = true)
            if (!skipped) values.forEach { call.response.headers.append(name, it, safeOnly = false) }
        }
    }

    private fun contentTypeOf(head: ResponseHead): ContentType? = head.headers[HttpHeaders.ContentType]?.let {
        ContentType.parse(it)
    }

    private fun secondsOf(millis: Long): Long = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND

    private fun statusOf(end: RequestEnd): HttpStatusCode = when (end) {
        RequestEnd.NOT_RUN -> HttpStatusCode.ServiceUnavailable
        RequestEnd.UNKNOWN -> HttpStatusCode.GatewayTimeout
        else -> HttpStatusCode.BadGateway
    }

    internal companion object {
        const val REQUEST_ID_HEADER = "Buckthornbay-Request-Id"
        const val END_HEADER = "Buckthornbay-End"
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
