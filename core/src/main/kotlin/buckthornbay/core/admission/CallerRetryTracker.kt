package buckthornbay.core.admission

import buckthornbay.core.LruMap
import buckthornbay.core.load.TokenDemand
import buckthornbay.protocol.WorkspaceId

/**
 * A fingerprint that identifies a repeated request.
 *
 * Each attempt of a caller has a new id, but its prompt parts and token counts are the same.
 */
public data class RequestFingerprint(public val route: String, public val workspace: WorkspaceId, public val demand: TokenDemand)

/**
 * A tracker that recognizes retries of refused requests and returns the time since their first attempt.
 *
 * The latency objective of a request starts with its caller's first attempt. A retry that has already missed the objective
 * must not take the place of a request that can still meet it. Callers keep their connections, so nearly all of them retry at
 * the host that refused them, which recognizes the request by its [RequestFingerprint]. The remaining time that a caller sends
 * can't be used for this: the time limits of callers of one route differ by more than an objective.
 */
public class CallerRetryTracker {
    private val firstSentAtMillis = LruMap<RequestFingerprint, Long>(MAX_REQUESTS)

    /** Records that [request], whose first attempt was [waitedMillis] ago, is refused. */
    public fun recordRefusal(nowMillis: Long, request: RequestFingerprint, waitedMillis: Long) {
        firstSentAtMillis[request] = nowMillis - waitedMillis
    }

    /**
     * Returns the time since the first attempt of [request] in milliseconds, 0 for a first attempt, and removes its entry.
     *
     * A request whose first attempt was more than [maxWaitMillis] ago counts as a new one.
     */
    public fun waitedMillis(nowMillis: Long, request: RequestFingerprint, maxWaitMillis: Long): Long {
        val firstAtMillis = firstSentAtMillis.remove(request) ?: return 0
        return (nowMillis - firstAtMillis).takeIf { it <= maxWaitMillis } ?: 0
    }

    private companion object {
        /** Maximum number of tracked requests; at the target scale a host refuses at most a few hundred per second. */
        const val MAX_REQUESTS = 2_048
    }
}
