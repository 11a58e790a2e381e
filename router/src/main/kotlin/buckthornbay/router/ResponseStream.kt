package buckthornbay.router

import buckthornbay.core.request.FailureAction
import buckthornbay.core.request.FailureKind
import buckthornbay.core.request.RequestLifecycle
import buckthornbay.core.request.ResponseEnd
import buckthornbay.core.request.ResponseEndDecision
import buckthornbay.protocol.RequestEnd
import buckthornbay.protocol.Upstream
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpHeaders
import io.ktor.http.isSuccess
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CoroutineScope

/**
 * The forwarding of a streamed response to the caller.
 *
 * An interrupted stream is resumed if the engine supports it. A truncated response never ends like a complete one.
 */
internal class ResponseStream(
    private val upstreams: UpstreamClient,
    private val relay: ResponseRelay,
    private val lifecycle: RequestLifecycle,
    private val meter: CostMeter,
    private val checkEnd: suspend (Upstream) -> ResponseEndDecision,
    private val recordDecision: (String) -> Unit,
) {
    private class Segment(val exchange: UpstreamExchange, val head: ResponseHead)

    /** Forwards the response of [first] to the caller and returns the outcome of the request. */
    suspend fun forward(
        scope: CoroutineScope,
        first: UpstreamExchange,
        head: ResponseHead,
        isModel: Boolean,
        to: ByteWriteChannel,
        caller: Caller,
    ): RequestEnd {
        val isEventStream = isModel && head.headers[HttpHeaders.ContentType]?.startsWith("text/event-stream") == true
        var segment = Segment(first, head)
        while (true) {
            val failure = relay(segment, to, isEventStream)
            if (failure == null) {
                segment.exchange.finish()
                lifecycle.completed()
                return RequestEnd.ANSWERED
            }
            segment.exchange.cancel()
            recordDecision("the answer of ${segment.exchange.upstream.id} broke: $failure")
            segment = resume(scope, segment, head.headers[STREAM_ID_HEADER].takeIf { isEventStream }, failure)
                ?: return abortStream(failure, isEventStream, to, caller)
        }
    }

    private suspend fun relay(segment: Segment, to: ByteWriteChannel, isEventStream: Boolean): FailureKind? {
        if (isEventStream) return relay.relayEvents(segment.head.body, to, meter).getError()
        return relay.relayBytes(segment.head.body, to).getError() ?: failureAtEnd(segment)
    }

    private suspend fun failureAtEnd(segment: Segment): FailureKind? {
        if (segment.head.isFramed) return null
        val decision = checkEnd(segment.exchange.upstream)
        recordDecision("the answer of ${segment.exchange.upstream.id} has no marked end: ${decision.reason}")
        return FailureKind.BROKEN_IN_ANSWER.takeIf { decision.end == ResponseEnd.BROKEN_OFF }
    }

    private suspend fun resume(scope: CoroutineScope, interrupted: Segment, streamId: String?, failure: FailureKind): Segment? {
        if (streamId == null) return null
        while (lifecycle.failed(failure) is FailureAction.Resume) {
            recordDecision("resumed at ${interrupted.exchange.upstream.id} after ${meter.tokens} tokens")
            val exchange = upstreams.resume(scope, interrupted.exchange.upstream, streamId, meter.tokens)
            val head = exchange.head.await().getOrElse { null }
            if (head != null && head.status.isSuccess()) return Segment(exchange, head)
            exchange.cancel()
        }
        return null
    }

    private suspend fun abortStream(
        failure: FailureKind,
        isEventStream: Boolean,
        to: ByteWriteChannel,
        caller: Caller,
    ): RequestEnd {
        if (lifecycle.end == null) lifecycle.failed(FailureKind.CALLER_LEFT)
        if (failure != FailureKind.CALLER_LEFT) caller.abortStream(to, isEventStream)
        return checkNotNull(lifecycle.end) { "the response was interrupted and not resumed, but the request has no outcome" }
    }

    private companion object {
        const val STREAM_ID_HEADER = "Stream-Id"
    }
}
