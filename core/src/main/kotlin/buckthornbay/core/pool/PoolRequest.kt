package buckthornbay.core.pool

import buckthornbay.protocol.DemandReport
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId

/**
 * The scheduling data of a request.
 *
 * @property long whether the latency class is long; short requests are served first.
 * @property hintUnits rough cost estimate from the caller, in cost units.
 * @property arrivedAtMillis arrival time of the caller's request.
 * @property deadlineAtMillis time at which the request is refused if it is still queued.
 * @property excluded upstreams that already failed this request.
 * @property preferred the upstream that probably has the prompt's prefix in its cache.
 * @property hedgeable whether the request may be sent to a second upstream while the first attempt runs.
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

/** The reason for refusing a request before it is sent to an upstream. */
public enum class RefusalReason {
    /** The workspace's queue at this host is full. */
    QUEUE_FULL,

    /** The deadline passed while the request was queued. */
    DEADLINE_PASSED,

    /** The expected queueing time exceeds the deadline. */
    DEADLINE_UNREACHABLE,

    /** The pool has no upstream that accepts new requests. */
    NO_UPSTREAM,
}

/** An action that a [PoolHolder] asks its caller to perform. */
public sealed interface HolderEffect {
    /** Sends [request] to [upstream]. */
    public data class Dispatch(public val request: PoolRequest, public val upstream: UpstreamId) : HolderEffect

    /** Sends [copy] of the request [original] to [upstream], to hedge a late attempt or to probe an ejected upstream. */
    public data class Hedge(public val original: RequestId, public val copy: PoolRequest, public val upstream: UpstreamId) :
        HolderEffect

    /** Tells the caller that [request] was not run and may be retried after [retryAfterMillis] milliseconds. */
    public data class Refuse(
        public val request: PoolRequest,
        public val reason: RefusalReason,
        public val retryAfterMillis: Long,
    ) : HolderEffect

    /** Sends [report] to the pool's owner. */
    public data class Report(public val report: DemandReport) : HolderEffect
}
