package buckthornbay.core.pool

import buckthornbay.protocol.DemandReport
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId

/**
 * A request as the scheduler sees it.
 *
 * @property arrivedAtMillis when the caller's request arrived.
 * @property deadlineAtMillis when it is refused if it still waits.
 * @property hintUnits the cost that the caller hints at, in cost units; rough.
 * @property excluded upstreams that already failed this request.
 * @property preferred the upstream that probably holds the prompt's prefix.
 * @property hedgeable whether a second copy may run beside a late one.
 */
public data class PoolRequest(
    public val id: RequestId,
    public val workspace: WorkspaceId,
    public val latencyClass: String,
    public val long: Boolean,
    public val hintUnits: Double,
    public val arrivedAtMillis: Long,
    public val deadlineAtMillis: Long,
    public val excluded: Set<UpstreamId> = emptySet(),
    public val preferred: UpstreamId? = null,
    public val hedgeable: Boolean = false,
)

/** Why a request is refused before any upstream saw it. */
public enum class RefusalReason {
    /** The workspace's queue at this host is full. */
    QUEUE_FULL,

    /** The request waited until its deadline. */
    DEADLINE_PASSED,

    /** The wait would be longer than the deadline allows. */
    DEADLINE_UNREACHABLE,

    /** The pool has no upstream that may get work. */
    NO_UPSTREAM,
}

/** What a [PoolHolder] wants done. */
public sealed interface HolderEffect {
    /** Send [request] to [upstream] now. */
    public data class Dispatch(public val request: PoolRequest, public val upstream: UpstreamId) : HolderEffect

    /** Send [copy] of the request [original] to [upstream], because the first attempt is later than usual. */
    public data class Hedge(public val original: RequestId, public val copy: PoolRequest, public val upstream: UpstreamId) :
        HolderEffect

    /** Tell the caller of [request] that it was not run, and to come back after [retryAfterMillis] milliseconds. */
    public data class Refuse(
        public val request: PoolRequest,
        public val reason: RefusalReason,
        public val retryAfterMillis: Long,
    ) : HolderEffect

    /** Send [report] to the pool's owner. */
    public data class Report(public val report: DemandReport) : HolderEffect
}
