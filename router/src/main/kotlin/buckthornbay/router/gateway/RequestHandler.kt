package buckthornbay.router.gateway

import buckthornbay.core.admission.BufferBudget
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/**
 * A request that was read completely. Its handler must [release] it.
 *
 * @property memory what the body holds of the memory for buffers; null if there is no body.
 */
internal class ReceivedRequest(
    val method: String,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteBuf,
    val memory: BufferBudget.Share?,
) {
    /** The request target without its query. */
    val path: String get() = target.substringBefore('?')

    fun release() {
        body.release()
        memory?.release()
    }
}

/** A handler of the requests of a [CallerConnection]. */
internal interface RequestHandler {
    /** Current limits on requests. */
    val limits: ReadLimits

    /** The memory for bodies of all connections together. */
    val buffers: BufferBudget

    /** Whether responses must ask callers to close the connection. */
    val closing: Boolean

    /** Whether callers are asked to close their connections because this host has few left. */
    val shedsConnections: Boolean get() = false

    /** Whether new connections are closed at once. */
    val rejectsConnections: Boolean get() = false

    /** Handles [request] and responds to [caller]; returns its work, which is notified when the caller disconnects. */
    fun handle(request: ReceivedRequest, caller: CallerConnection): CallerWork

    /** Returns the body of an error response that the connection itself sends. */
    fun errorBody(message: String): String

    /** Open connections; each adds and removes itself. */
    val connections: MutableSet<CallerConnection>

    /** Called when the connection rejects an invalid or incomplete request, which never reaches [handle]. */
    fun invalidRequest(status: Int, reason: String) = Unit
}

/** A request in progress on a [CallerConnection]. */
internal interface CallerWork {
    /** Called when the caller closed its connection or the connection broke. */
    fun callerDisconnected()

    /** Called when the write buffer of the caller's connection fills up or drains, for back-pressure. */
    fun writabilityChanged(writable: Boolean) = Unit

    /** A request that was answered immediately. */
    object Done : CallerWork {
        override fun callerDisconnected() = Unit
    }
}

/** Limits on the size and the timing of requests; see `CallerLimits`. */
internal data class ReadLimits(val maxBodyBytes: Int, val headerTimeoutMillis: Long, val idleTimeoutMillis: Long)
