package buckthornbay.router.gateway

import buckthornbay.core.admission.RequestFingerprint
import buckthornbay.core.admission.WaitingRank
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.routing.Route
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId

/**
 * What a caller asked for, and under which bounds.
 *
 * @property likeness by what its caller is known when it comes back; null where that makes no difference.
 * @property rank which requests it goes before while it waits.
 * @property askedAtMillis when the caller first sent the request, in milliseconds; before [arrivedAtMillis] where it was turned
 * away.
 * @property arrivedAtMillis when the request was read whole, in milliseconds.
 * @property callerWaitsUntilMillis until when the caller waits, in milliseconds.
 * @property deadlineAtMillis when the request must have its whole answer, in milliseconds.
 */
internal data class RequestTerms(
    val id: String,
    val route: Route,
    val workspace: WorkspaceId?,
    val service: ServiceId,
    val demand: TokenDemand?,
    val likeness: RequestFingerprint?,
    val rank: WaitingRank,
    val askedAtMillis: Long,
    val arrivedAtMillis: Long,
    val callerWaitsUntilMillis: Long,
    val deadlineAtMillis: Long,
)
