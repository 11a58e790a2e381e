package buckthornbay.store

import com.github.michaelbull.result.Result

/** A call of HTTP with a JSON body or none; [target] is path and query. */
public data class HttpCall(
    public val method: String,
    public val target: String,
    public val body: String? = null,
    public val headers: Map<String, String> = emptyMap(),
)

/** The answer to an [HttpCall]. */
public data class HttpReply(public val status: Int, public val body: String)

/** Why a call brought no answer. */
public sealed interface HttpFailure {
    /** No connection came about, so nothing was sent. */
    public data class NotConnected(public val reason: String) : HttpFailure

    /** The connection broke or the time was over after the call was, or may have been, sent. */
    public data class ResponseLost(public val reason: String) : HttpFailure
}

/** Sends calls to an address of the form `IP:PORT`. */
public fun interface HttpTransport {
    /** Sends [call] and returns the whole answer, or why none came within [timeoutMillis]. */
    public suspend fun call(address: String, call: HttpCall, timeoutMillis: Long): Result<HttpReply, HttpFailure>
}
