package buckthornbay.protocol

import kotlinx.serialization.Serializable

/** The outcome of a request, reported to the caller in the `Buckthornbay-End` header and in error bodies. */
@Serializable
public enum class RequestEnd {
    /** The complete response was forwarded to the caller. */
    ANSWERED,

    /** An upstream started the request but did not complete it. */
    FAILED,

    /** No upstream started the request. */
    NOT_RUN,

    /** Whether an upstream ran the request could not be determined. */
    UNKNOWN,
}

/** The response to `GET /v1/addresses`: hosts in order of preference, valid for [ttlMillis] milliseconds. */
@Serializable
public data class AddressList(public val hosts: List<HostAddress>, public val ttlMillis: Long)

/** The address of a host that callers may connect to. */
@Serializable
public data class HostAddress(public val host: HostId, public val url: String, public val zone: ZoneId)

/**
 * The body of every response that the host generates itself instead of forwarding it from an upstream.
 *
 * @property message the cause of the error and how to resolve it.
 * @property end the outcome of the request.
 * @property retryAfterMillis delay before the next attempt, in milliseconds; absent if a retry would not help.
 */
@Serializable
public data class ErrorBody(
    public val message: String,
    public val end: RequestEnd,
    public val requestId: String? = null,
    public val retryAfterMillis: Long? = null,
)

/** A decision about a request, shown by `explain`; [atMillis] is the time since the request arrived, in milliseconds. */
@Serializable
public data class DecisionRecord(public val atMillis: Long, public val decision: String)

/** The decisions that one host made about one request. */
@Serializable
public data class RequestExplanation(
    public val requestId: RequestId,
    public val host: HostId,
    public val workspace: WorkspaceId,
    public val service: ServiceId,
    public val decisions: List<DecisionRecord>,
    public val end: RequestEnd? = null,
)

/** The state of one pool on one host, shown by `status`. */
@Serializable
public data class PoolStatus(
    public val pool: PoolId,
    public val owner: HostId?,
    public val epoch: Long,
    public val slots: Int,
    public val inUse: Int,
    public val queued: Int,
    public val fallback: Boolean,
)

/** The state that one host reports about itself, shown by `status`. */
@Serializable
public data class HostStatus(
    public val host: HostId,
    public val incarnation: Long,
    public val stateVersion: Long,
    public val draining: Boolean,
    public val members: List<Member>,
    public val pools: List<PoolStatus>,
    public val requestsInProgress: Int,
)
