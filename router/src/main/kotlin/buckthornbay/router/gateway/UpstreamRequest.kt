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
 * What one attempt tells its upstream beside the caller's request.
 *
 * @property copyFrom address of the engine from which the upstream copies prompt parts; null for none.
 * @property leftMillis how long an answer is of use, in milliseconds.
 * @property resumeAfter the last event that the caller has from an earlier attempt; null on the first one.
 */
internal class AttemptTerms(val upstream: UpstreamId, val copyFrom: String?, val leftMillis: Long, val resumeAfter: String?)

/** Writes a caller's request as the upstream of [attempt] is to see it. */
internal fun upstreamRequest(
    received: ReceivedRequest,
    terms: RequestTerms,
    names: HeaderNames,
    attempt: AttemptTerms,
): FullHttpRequest {
    val headers = requestHeadersToForward(received.headers, names)
    headers.set(names.remainingMillis, attempt.leftMillis.coerceAtLeast(1))
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
