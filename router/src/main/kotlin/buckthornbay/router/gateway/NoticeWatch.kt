package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.registry.UpstreamNotices
import buckthornbay.core.wire.CallerInterface
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/** Reads from responses what upstreams state about themselves. */
internal class NoticeWatch(
    private val callerInterface: CallerInterface,
    private val notices: UpstreamNotices,
    private val clock: Clock,
    private val log: DecisionLog,
) {
    /** Called when an upstream has stated for the first time that it is shutting down. */
    var onLeaving: () -> Unit = {}

    /** Reads the head of the [response] of [upstream] to request [id]. */
    fun responseStarted(upstream: UpstreamEntry, id: String, response: HttpResponse) {
        readLeaving(upstream, id, response.headers())
        if (response.status() == HttpResponseStatus.SERVICE_UNAVAILABLE) readPause(upstream, id, response.headers())
    }

    private fun readLeaving(upstream: UpstreamEntry, id: String, headers: HttpHeaders) {
        if (headers.getAll(callerInterface.headers.leaving).none(callerInterface::isLeaving)) return
        if (!notices.recordLeaving(upstream)) return
        log.stateChange("event=upstream_leaving upstream=${upstream.id} incarnation=${upstream.incarnation} id=$id")
        onLeaving()
    }

    private fun readPause(upstream: UpstreamEntry, id: String, headers: HttpHeaders) {
        val texts = headers.getAll(callerInterface.headers.pause)
        val pauses = texts.map(callerInterface::pauseMillis)
        if (null in pauses) log.pauseUnreadable(upstream.id, id, texts)
        val longestMillis = pauses.filterNotNull().maxOrNull()?.takeIf { it > 0 } ?: return
        notices.recordPause(clock.nowMillis(), upstream, longestMillis)
        log.pause(upstream.id, id, longestMillis)
    }
}
