package buckthornbay.core.admission

import buckthornbay.core.RecentEntries
import buckthornbay.core.load.TokenDemand
import buckthornbay.protocol.WorkspaceId

/**
 * What tells a caller that comes back from one that asks for the first time: each attempt has an id of its own, but the
 * prompt's own part and its sizes are the same.
 */
public data class RequestFingerprint(public val route: String, public val workspace: WorkspaceId, public val demand: TokenDemand)

/**
 * Tells how long a caller has waited already before the request that it sends now.
 *
 * It answers callers that were turned away under load and come back: their objective began with their first attempt, so a
 * place given to one that is late already is taken from one that can still be served in time. Callers keep their connection,
 * so nearly all come back to the host that turned them away, which knows them by the [RequestFingerprint] of their request. The
 * time that a caller has left tells nothing: callers of one route start with time limits that differ by more than an
 * objective.
 */
public class CallerRetryTracker {
    private val turnedAwayAtMillis = RecentEntries<RequestFingerprint, Long>(MAX_CALLERS)

    /** Notes that [request], which its caller sent first [waitedMillis] ago, is turned away. */
    public fun recordRefusal(nowMillis: Long, request: RequestFingerprint, waitedMillis: Long) {
        turnedAwayAtMillis[request] = nowMillis - waitedMillis
    }

    /**
     * Returns how long the caller of [request] has waited before it, in milliseconds; 0 on its first attempt.
     *
     * Nobody waits for more than [longestMillis]; a like request that comes later is another one.
     */
    public fun waitedMillis(nowMillis: Long, request: RequestFingerprint, longestMillis: Long): Long {
        val firstAtMillis = turnedAwayAtMillis.remove(request) ?: return 0
        return (nowMillis - firstAtMillis).takeIf { it <= longestMillis } ?: 0
    }

    private companion object {
        /** Callers that are remembered; at the size to design for, a host turns away a few hundred a second at most. */
        const val MAX_CALLERS = 2_048
    }
}
