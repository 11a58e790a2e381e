package buckthornbay.router.gateway

import buckthornbay.core.admission.RequestFingerprint
import buckthornbay.core.admission.WaitingRank
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.resumption.StreamKey
import buckthornbay.core.routing.Route
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId

/**
 * The parameters and deadlines of a caller's request.
 *
 * @property resumes the stream that the caller takes up again; null if it begins a new one.
 * @property homeRegions the only regions whose upstreams may get the request; null if all may.
 * @property demand prompt and answer tokens that the request needs; null if the caller did not state them.
 * @property fingerprint identifies the request when its caller repeats it after a refusal; null if it can't be identified.
 * @property rank priority in the queue.
 * @property isBelowShare whether the workspace asked for less than its share, on all hosts together.
 * @property firstReceivedAtMillis time of the caller's first try, in milliseconds; earlier than [arrivedAtMillis] if this host
 * refused the request before.
 * @property arrivedAtMillis time at which the request was read completely, in milliseconds.
 * @property callerDeadlineAtMillis time until which the caller waits, in milliseconds.
 * @property deadlineAtMillis time by which the response must be complete, in milliseconds.
 */
internal data class RequestTerms(
    val id: String,
    val route: Route,
    val workspace: WorkspaceId?,
    val service: ServiceId,
    val resumes: StreamKey?,
    val homeRegions: Set<RegionId>?,
    val demand: TokenDemand?,
    val fingerprint: RequestFingerprint?,
    val rank: WaitingRank,
    val isBelowShare: Boolean,
    val firstReceivedAtMillis: Long,
    val arrivedAtMillis: Long,
    val callerDeadlineAtMillis: Long,
    val deadlineAtMillis: Long,
)
