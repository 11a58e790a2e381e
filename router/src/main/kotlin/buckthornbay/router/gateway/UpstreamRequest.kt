package buckthornbay.router.gateway

import buckthornbay.core.wire.HeaderNames
import buckthornbay.protocol.UpstreamId
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/**
 * The parameters of one attempt that the router adds to the caller's request.
 *
 * @property upstream the upstream that the request is meant for.
 * @property copyFrom address of the engine from which the upstream copies cached prompt parts; null for none.
 * @property remainingMillis time until the deadline of the response, in milliseconds.
 * @property resumeAfter id of the last event that the caller received from an earlier attempt; null if there is none.
 */
internal class AttemptTerms(val upstream: UpstreamId, val copyFrom: String?, val remainingMillis: Long, val resumeAfter: String?)

/** Builds the request to the upstream of [attempt] from the caller's request. */
internal fun buildUpstreamRequest(
    received: ReceivedRequest,
    terms: RequestTerms,
    names: HeaderNames,
    attempt: AttemptTerms,
): FullHttpRequest {
    val headers = requestHeadersToForward(received.headers, names)
    headers.set(names.remainingMillis, attempt.remainingMillis.coerceAtLeast(1))
    headers.set(names.expectedUpstream, attempt.upstream.value)
    attempt.copyFrom?.let { headers.set(names.copyFrom, it) }
    terms.workspace?.let { headers.set(names.workspace, it.value) }
    attempt.resumeAfter?.let { headers.set(names.lastEventId, it) }
    val body = received.body
    val hadBody = received.headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
        received.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
    if (hadBody || body.isReadable) headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
    val content = if (body.isReadable) body.retainedDuplicate() else Unpooled.EMPTY_BUFFER
    val method = HttpMethod.valueOf(received.method)
    return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, received.target, content, headers, uncheckedHeaders())
}
