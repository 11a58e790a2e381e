package buckthornbay.router.gateway

import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.registry.UpstreamNotices
import buckthornbay.core.wire.CallerInterface
import io.netty.handler.codec.http.HttpHeaders

/** Reads from responses what upstreams state about themselves. */
internal class NoticeWatch(
    private val callerInterface: CallerInterface,
    private val notices: UpstreamNotices,
    private val log: DecisionLog,
) {
    /** Called when an upstream has stated for the first time that it is shutting down. */
    var onLeaving: () -> Unit = {}

    /** Reads the [headers] of the response of [upstream] to request [id]. */
    fun responseStarted(upstream: UpstreamEntry, id: String, headers: HttpHeaders) {
        if (headers.getAll(callerInterface.headers.leaving).none(callerInterface::isLeaving)) return
        if (!notices.recordLeaving(upstream)) return
        log.stateChange("event=upstream_leaving upstream=${upstream.id} incarnation=${upstream.incarnation} id=$id")
        onLeaving()
    }
}
