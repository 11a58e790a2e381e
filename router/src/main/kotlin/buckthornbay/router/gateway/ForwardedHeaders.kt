package buckthornbay.router.gateway

import buckthornbay.core.wire.HeaderNames
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders

/** Headers that apply to a single connection only (hop-by-hop headers) and are not forwarded, in lower case. */
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

/**
 * Returns the caller's [headers] to forward to an upstream, without hop-by-hop headers, the caller's credentials and headers
 * that only the router sets.
 */
internal fun requestHeadersToForward(headers: HttpHeaders, names: HeaderNames): HttpHeaders {
    val dropped = headersNamedByConnection(headers) - names.alwaysForwarded - "host"
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

/** Returns an upstream's [headers] to forward to a caller, without hop-by-hop headers. */
internal fun responseHeadersToForward(headers: HttpHeaders): HttpHeaders {
    val dropped = headersNamedByConnection(headers)
    val forwarded = uncheckedHeaders()
    headers.forEach { (name, value) ->
        val lower = name.lowercase()
        if (lower !in CONNECTION_HEADERS && lower !in dropped) forwarded.add(name, value)
    }
    return forwarded
}

private fun headersNamedByConnection(headers: HttpHeaders): Set<String> =
    headers.getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }.filter { it.isNotEmpty() }.toSet()

/** Returns empty headers that skip validation, for values that the HTTP parser has validated. */
internal fun uncheckedHeaders(): HttpHeaders = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
