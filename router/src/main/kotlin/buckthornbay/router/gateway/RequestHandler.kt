package buckthornbay.router.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** A request that was read whole; [body] belongs to whoever takes the request and must be released. */
internal class ReceivedRequest(val method: String, val target: String, val headers: HttpHeaders, val body: ByteBuf) {
    /** The target without its query. */
    val path: String get() = target.substringBefore('?')
}

/** What takes the requests of a [CallerConnection]. */
internal interface RequestHandler {
    /** Bounds on what callers may send now. */
    val limits: ReadLimits

    /** Whether answers must tell callers to use another connection from now on. */
    val closing: Boolean

    /** Takes a [request] and returns what ends when its caller leaves; answers go to [caller]. */
    fun handle(request: ReceivedRequest, caller: CallerConnection): CallerWork

    /** Writes the body of an error that the connection itself sends. */
    fun errorBody(message: String): String

    /** Connections that are open; each enters and leaves by itself. */
    val connections: MutableSet<CallerConnection>

    /** Something that callers sent was refused before it was a request. */
    fun refusedUnread(status: Int, reason: String) = Unit
}

/** Work in progress for a caller. */
internal interface CallerWork {
    /** The caller left, or its connection broke. */
    fun callerDisconnected()

    /** The caller's connection takes bytes again, or does not. */
    fun writable(writable: Boolean) = Unit

    /** Stands for a request that was answered at once. */
    object Done : CallerWork {
        override fun callerDisconnected() = Unit
    }
}

/** Bounds on what callers may send; see `CallerLimits`. */
internal data class ReadLimits(val maxBodyBytes: Int, val headerTimeoutMillis: Long, val idleTimeoutMillis: Long)
