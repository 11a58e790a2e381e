package buckthornbay.router.gateway

import buckthornbay.core.wire.HeaderNames
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders

/** Headers that concern one connection only, in lower case. */
private val CONNECTION_HEADERS = setOf(
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
)

/** Returns the caller's [headers] as an upstream may see them, without those that the router sets. */
internal fun requestHeadersToForward(headers: HttpHeaders, names: HeaderNames): HttpHeaders {
    val dropped = namedByConnection(headers) - names.alwaysForwarded - "host"
    val forwarded = uncheckedHeaders()
    headers.forEach { (name, value) ->
        val lower = name.lowercase()
        val drop = lower in CONNECTION_HEADERS ||
            lower in dropped ||
            lower in names.routerOnly ||
            lower == "authorization" ||
            lower == names.remainingMillis.lowercase()
        if (!drop) forwarded.add(name, value)
    }
    return forwarded
}

/** Returns an upstream's [headers] as a caller may see them. */
internal fun answerHeadersToForward(headers: HttpHeaders): HttpHeaders {
    val dropped = namedByConnection(headers)
    val forwarded = uncheckedHeaders()
    headers.forEach { (name, value) ->
        val lower = name.lowercase()
        if (lower !in CONNECTION_HEADERS && lower !in dropped) forwarded.add(name, value)
    }
    return forwarded
}

private fun namedByConnection(headers: HttpHeaders): Set<String> =
    headers.getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }.filter { it.isNotEmpty() }.toSet()

/** Returns new headers for what was parsed, and so checked, before. */
internal fun uncheckedHeaders(): HttpHeaders = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
