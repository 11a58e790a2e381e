package buckthornbay.router

import buckthornbay.core.request.FailureAction
import buckthornbay.core.request.FailureKind
import buckthornbay.core.request.RequestLifecycle
import buckthornbay.protocol.RequestEnd
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpHeaders
import io.ktor.http.isSuccess
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CoroutineScope

/** Passes a streamed answer on, resumes it where it breaks and the engine can, and never ends a cut answer cleanly. */
internal class AnswerStream(
    private val upstreams: UpstreamClient,
    private val relay: AnswerRelay,
    private val lifecycle: RequestLifecycle,
    private val meter: CostMeter,
    private val note: (String) -> Unit,
) {
    private class Part(val exchange: UpstreamExchange, val head: AnswerHead)

    /** Passes the answer of [first] on to the caller and returns the request's end. */
    suspend fun pass(
        scope: CoroutineScope,
        first: UpstreamExchange,
        head: AnswerHead,
        isModel: Boolean,
        to: ByteWriteChannel,
        caller: Caller,
    ): RequestEnd {
        val events = isModel && head.headers[HttpHeaders.ContentType]?.startsWith("text/event-stream") == true
        var part = Part(first, head)
        while (true) {
            val failure = relay(part, to, events)
            if (failure == null) {
                part.exchange.finish()
                lifecycle.completed()
                return RequestEnd.ANSWERED
            }
            part.exchange.cancel()
            note("the answer of ${part.exchange.upstream.id} broke: $failure")
            part = resume(scope, part, head.headers[STREAM_ID_HEADER].takeIf { events }, failure)
                ?: return breakOff(failure, events, to, caller)
        }
    }

    private suspend fun relay(part: Part, to: ByteWriteChannel, events: Boolean): FailureKind? {
        val result = if (events) relay.relayEvents(part.head.body, to, meter) else relay.relayBytes(part.head.body, to)
        return result.getError()
    }

    private suspend fun resume(scope: CoroutineScope, broken: Part, streamId: String?, failure: FailureKind): Part? {
        if (streamId == null) return null
        while (lifecycle.failed(failure) is FailureAction.Resume) {
            note("resumed at ${broken.exchange.upstream.id} after ${meter.tokens} tokens")
            val exchange = upstreams.resume(scope, broken.exchange.upstream, streamId, meter.tokens)
            val head = exchange.head.await().getOrElse { null }
            if (head != null && head.status.isSuccess()) return Part(exchange, head)
            exchange.cancel()
        }
        return null
    }

    private suspend fun breakOff(failure: FailureKind, events: Boolean, to: ByteWriteChannel, caller: Caller): RequestEnd {
        if (lifecycle.end == null) lifecycle.failed(FailureKind.CALLER_LEFT)
        if (failure != FailureKind.CALLER_LEFT) caller.breakOff(to, events)
        return checkNotNull(lifecycle.end) { "a broken answer that is not resumed has an end" }
    }

    private companion object {
        const val STREAM_ID_HEADER = "Stream-Id"
    }
}
