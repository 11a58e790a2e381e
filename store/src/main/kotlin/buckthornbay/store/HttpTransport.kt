package buckthornbay.store

import com.github.michaelbull.result.Result

/**
 * An HTTP request with an optional JSON body.
 *
 * @property target path and query.
 * @property onNewConnection whether the request needs a connection of its own, because open ones may have gone silent.
 */
public data class HttpCall(
    public val method: String,
    public val target: String,
    public val body: String? = null,
    public val headers: Map<String, String> = emptyMap(),
    public val onNewConnection: Boolean = false,
)

/**
 * The response to an [HttpCall].
 *
 * @property headers the headers by lower-case name.
 */
public data class HttpReply(
    public val status: Int,
    public val body: String,
    public val headers: Map<String, String> = emptyMap(),
)

/** The reason why an [HttpCall] got no response. */
public sealed interface HttpFailure {
    /** No connection was established, so nothing was sent. */
    public data class NotConnected(public val reason: String) : HttpFailure

    /** The connection was lost or the call timed out after the request was, or may have been, sent. */
    public data class ResponseLost(public val reason: String) : HttpFailure
}

/** A transport for HTTP requests to an address of the form `IP:PORT`. */
public fun interface HttpTransport {
    /** Sends [call] and returns the complete response, or why none arrived within [timeoutMillis]. */
    public suspend fun call(address: String, call: HttpCall, timeoutMillis: Long): Result<HttpReply, HttpFailure>
}
