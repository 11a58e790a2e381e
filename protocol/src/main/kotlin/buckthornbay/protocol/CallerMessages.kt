package buckthornbay.protocol

import kotlinx.serialization.Serializable

/** The end of a request, as the caller is told it in the `Buckthornbay-End` header and in error bodies. */
@Serializable
public enum class RequestEnd {
    /** The whole answer was passed on. */
    ANSWERED,

    /** The upstream began the request and did not finish it. */
    FAILED,

    /** No upstream ever began the request. */
    NOT_RUN,

    /** It can't be told whether an upstream ran the request. */
    UNKNOWN,
}

/** The answer to `GET /v1/addresses`: hosts to connect to, the best first, for [ttlMillis] milliseconds. */
@Serializable
public data class AddressList(public val hosts: List<HostAddress>, public val ttlMillis: Long)

/** One host that callers may connect to. */
@Serializable
public data class HostAddress(public val host: HostId, public val url: String, public val zone: ZoneId)

/**
 * The body of every answer that is not the upstream's own.
 *
 * @property message what is wrong and what to do.
 * @property end what became of the request.
 * @property retryAfterMillis when to try again, in milliseconds; absent where trying again does not help.
 */
@Serializable
public data class ErrorBody(
    public val message: String,
    public val end: RequestEnd,
    public val requestId: String? = null,
    public val retryAfterMillis: Long? = null,
)

/** One decision about a request, as `explain` shows it; [atMillis] is milliseconds since the request arrived. */
@Serializable
public data class DecisionRecord(public val atMillis: Long, public val decision: String)

/** What one host decided about one request. */
@Serializable
public data class RequestExplanation(
    public val requestId: RequestId,
    public val host: HostId,
    public val workspace: WorkspaceId,
    public val service: ServiceId,
    public val decisions: List<DecisionRecord>,
    public val end: RequestEnd? = null,
)

/** The state of one pool at one host, as `status` shows it. */
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

/** One host's own account of itself, as `status` shows it. */
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
