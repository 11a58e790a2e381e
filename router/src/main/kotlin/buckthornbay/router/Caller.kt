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

/** The caller's side of one request. */
internal class Caller(private val call: ApplicationCall, private val id: RequestId) {
    /** Answers with the upstream's whole answer. */
    suspend fun answerWhole(head: AnswerHead, bytes: ByteArray) {
        passHeaders(head)
        tellEnd(RequestEnd.ANSWERED)
        call.respondBytes(bytes, contentTypeOf(head), head.status)
    }

    /** Answers with a stream that [write] fills. */
    suspend fun answerStream(head: AnswerHead, write: suspend (ByteWriteChannel) -> Unit) {
        passHeaders(head)
        call.response.header(REQUEST_ID_HEADER, id.value)
        call.respondBytesWriter(contentTypeOf(head), head.status) { write(this) }
    }

    /**
     * Says that the begun answer breaks off here: by an event where it consists of [events], and else by cutting the connection.
     *
     * A connection that is cut may lose the event before it, and its end may look orderly to the caller then.
     */
    suspend fun breakOff(to: ByteWriteChannel, events: Boolean) {
        if (!events) throw IOException("the upstream broke off its answer")
        val body = ErrorBody(RefusalText.of(RequestEnd.FAILED), RequestEnd.FAILED, id.value)
        to.writeStringUtf8("event: error\ndata: ${WireJson.encodeToString(ErrorBody.serializer(), body)}\n\n")
        to.flush()
    }

    /** Answers that the request has no answer, with its [end] and, where it helps, when to try again. */
    suspend fun fail(message: String, end: RequestEnd, retryAfterMillis: Long?) {
        tellEnd(end)
        if (retryAfterMillis != null) call.response.header(HttpHeaders.RetryAfter, secondsOf(retryAfterMillis).toString())
        val body = ErrorBody(message, end, id.value, retryAfterMillis)
        call.respondText(WireJson.encodeToString(ErrorBody.serializer(), body), ContentType.Application.Json, statusOf(end))
    }

    private fun tellEnd(end: RequestEnd) {
        call.response.header(REQUEST_ID_HEADER, id.value)
        call.response.header(END_HEADER, end.name.lowercase())
    }

    private fun passHeaders(head: AnswerHead) {
        head.headers.forEach { name, values ->
            val own = name.lowercase() in UpstreamClient.HOP_HEADERS || name.equals(HttpHeaders.ContentType, ignoreCase = true)
            if (!own) values.forEach { call.response.headers.append(name, it, safeOnly = false) }
        }
    }

    private fun contentTypeOf(head: AnswerHead): ContentType? = head.headers[HttpHeaders.ContentType]?.let {
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
