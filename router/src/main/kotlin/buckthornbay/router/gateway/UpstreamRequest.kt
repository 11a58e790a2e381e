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
 * Writes a caller's request as the upstream [upstream] is to see it.
 *
 * @param copyFrom address of the engine from which [upstream] copies prompt parts; null for none.
 * @param leftMillis how long an answer is of use, in milliseconds.
 * @param resumeAfter the last event that the caller has from an earlier attempt; null on the first one.
 */
internal fun upstreamRequest(
    received: ReceivedRequest,
    terms: RequestTerms,
    names: HeaderNames,
    upstream: UpstreamId,
    copyFrom: String?,
    leftMillis: Long,
    resumeAfter: String?,
): FullHttpRequest {
    val headers = requestHeadersToForward(received.headers, names)
    headers.set(names.remainingMillis, leftMillis.coerceAtLeast(1))
    headers.set(names.expectedUpstream, upstream.value)
    copyFrom?.let { headers.set(names.copyFrom, it) }
    terms.workspace?.let { headers.set(names.workspace, it.value) }
    resumeAfter?.let { headers.set(names.lastEventId, it) }
    val body = received.body
    val hadBody = received.headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
        received.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
    if (hadBody || body.isReadable) headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
    val content = if (body.isReadable) body.retainedDuplicate() else Unpooled.EMPTY_BUFFER
    val method = HttpMethod.valueOf(received.method)
    return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, received.target, content, headers, uncheckedHeaders())
}
