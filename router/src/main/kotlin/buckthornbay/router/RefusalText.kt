package buckthornbay.router

import buckthornbay.core.pool.RefusalReason
import buckthornbay.protocol.RequestEnd

/** The messages of error responses to callers: the cause and what the caller can do. */
internal object RefusalText {
    fun of(reason: RefusalReason): String = when (reason) {
        RefusalReason.QUEUE_FULL -> "this workspace has too many requests waiting; try again after Retry-After"
        RefusalReason.DEADLINE_PASSED -> "no upstream became free before the deadline; try again after Retry-After"
        RefusalReason.DEADLINE_UNREACHABLE -> "the deadline can't be met now; try again after Retry-After"
        RefusalReason.NO_UPSTREAM -> "no upstream may take this service's requests now; try again after Retry-After"
    }

    fun of(end: RequestEnd): String = when (end) {
        RequestEnd.NOT_RUN -> "no upstream ran the request; it can be sent again"
        RequestEnd.FAILED -> "an upstream began the request and did not finish it"
        RequestEnd.UNKNOWN -> "it is not known whether the request ran; check its effect before sending it again"
        RequestEnd.ANSWERED -> "the request was answered"
    }
}
