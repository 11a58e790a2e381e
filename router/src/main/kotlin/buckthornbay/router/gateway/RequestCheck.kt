package buckthornbay.router.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Why something a caller sent is not taken for a request. */
internal data class RequestProblem(val status: HttpResponseStatus, val message: String)

/** Returns what is wrong with the head of [request], or null. Two readers must never see two different requests in one. */
internal fun problemOf(request: HttpRequest): RequestProblem? {
    val hosts = request.headers().getAll(HttpHeaderNames.HOST)
    return when {
        request.protocolVersion() != HttpVersion.HTTP_1_1 ->
            RequestProblem(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "use HTTP/1.1")
        !request.uri().startsWith("/") -> badRequest("the request target must begin with a slash")
        hosts.size != 1 || hosts.single().isBlank() -> badRequest("send one Host header")
        else -> framingProblemOf(request.headers())
    }
}

/** Returns what leaves the length of a body open to more than one reading, or null. */
private fun framingProblemOf(headers: HttpHeaders): RequestProblem? {
    val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
    return when {
        codings.isNotEmpty() && lengths.isNotEmpty() -> badRequest("send Content-Length or Transfer-Encoding, not both")
        codings.size > 1 || codings.any { !it.trim().equals("chunked", ignoreCase = true) } ->
            badRequest("the only transfer coding that is understood is 'chunked'")
        lengths.size > 1 || lengths.any { !isWholeNumber(it) } -> badRequest("send one Content-Length, a whole number")
        else -> null
    }
}

private fun isWholeNumber(text: String): Boolean = text.isNotEmpty() && text.all { it in '0'..'9' }

/** Returns the answer to bytes that the parser did not accept because of [cause]. */
internal fun malformedProblem(cause: Throwable): RequestProblem = when (cause) {
    is TooLongHttpHeaderException ->
        RequestProblem(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
    is TooLongHttpLineException -> RequestProblem(HttpResponseStatus.REQUEST_URI_TOO_LONG, "the request line is too long")
    else -> badRequest("this is no HTTP request: ${cause.message}")
}

private fun badRequest(message: String) = RequestProblem(HttpResponseStatus.BAD_REQUEST, message)
