package buckthornbay.router.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** The error response to a malformed request. */
internal data class RequestProblem(val status: HttpResponseStatus, val message: String)

/**
 * Returns the problem of a [request] head, or null if it is valid.
 *
 * Rejects heads that two parsers could read as different requests (request smuggling).
 */
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

/** Returns the problem of [headers] that make the length of the body ambiguous, or null if there is none. */
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

/** Returns the problem of a request that the parser rejected with [cause]. */
internal fun malformedProblem(cause: Throwable): RequestProblem = when (cause) {
    is TooLongHttpHeaderException ->
        RequestProblem(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
    is TooLongHttpLineException -> RequestProblem(HttpResponseStatus.REQUEST_URI_TOO_LONG, "the request line is too long")
    else -> badRequest("this is no HTTP request: ${cause.message}")
}

private fun badRequest(message: String) = RequestProblem(HttpResponseStatus.BAD_REQUEST, message)
