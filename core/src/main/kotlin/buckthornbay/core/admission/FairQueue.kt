package buckthornbay.core.admission

import buckthornbay.protocol.WorkspaceId

/** Priority classes of queued requests, highest first. */
public enum class WaitingRank {
    /** The request is within its workspace's fair share. */
    DUE,

    /** The request can still meet its objective, but its workspace exceeds its fair share. */
    BEYOND_SHARE,

    /** The request has already missed its objective, and its workspace exceeds its fair share. */
    LATE,
}

/**
 * A request that is queued at this host until an upstream has room.
 *
 * @property workspace workspace whose fair share is charged; null for public routes, which share one queue.
 * @property rank priority class; it takes precedence over the fair order among workspaces.
 * @property queueUntilMillis time until which the request may stay queued, in milliseconds.
 */
public class QueuedRequest<T>(
    public val id: String,
    public val workspace: WorkspaceId?,
    public val rank: WaitingRank,
    public val arrivedAtMillis: Long,
    public val queueUntilMillis: Long,
    public val request: T,
)

/**
 * The queue of requests for one service at this host, ordered by [WaitingRank] and, within a rank, by the recent work of the
 * workspace, least first.
 *
 * Engines execute requests in order of arrival, so requests are queued here to be reordered when the upstreams are saturated.
 * Requests of one workspace and rank keep their order of arrival.
 */
public class FairQueue<T>(private val accounts: FleetAccounts) {
    private val byWorkspace = LinkedHashMap<WorkspaceId?, ArrayDeque<QueuedRequest<T>>>()

    /** Number of queued requests. */
    public var size: Int = 0
        private set

    /** Returns the workspaces with a request that has been queued since [sinceMillis] or longer. */
    public fun workspacesWaitingSince(sinceMillis: Long): Set<WorkspaceId> =
        byWorkspace.filterValues { queue -> queue.any { it.arrivedAtMillis <= sinceMillis } }.keys.filterNotNull().toSet()

    /** Returns the number of queued requests of [workspace]. */
    public fun sizeOf(workspace: WorkspaceId?): Int = byWorkspace[workspace]?.size ?: 0

    /** Adds [request] to the end of its workspace's queue. */
    public fun add(request: QueuedRequest<T>) {
        byWorkspace.getOrPut(request.workspace) { ArrayDeque() }.addLast(request)
        size++
    }

    /** Removes [request]; returns false if it is not queued. */
    public fun remove(request: QueuedRequest<T>): Boolean {
        val queue = byWorkspace[request.workspace] ?: return false
        if (!queue.remove(request)) return false
        size--
        if (queue.isEmpty()) byWorkspace.remove(request.workspace)
        return true
    }

    /**
     * Offers queued requests to [place] in priority order, and starts over after each one placed, until none can be placed or
     * [mayPlace], which is asked before each round, returns false.
     *
     * [place] must remove a request before it places it. A request that does not fit causes no head-of-line blocking: smaller
     * requests of other workspaces may still fit.
     */
    public fun placeWhile(nowMillis: Long, mayPlace: () -> Boolean = { true }, place: (QueuedRequest<T>) -> Boolean) {
        var placed = true
        while (placed && size > 0 && mayPlace()) placed = inPriorityOrder(nowMillis).any(place)
    }

    /**
     * Returns the requests that can't be placed in time if [placementsPerSecond] requests can be placed, starting now.
     *
     * Workspaces take turns within a rank, so that the latest requests of those with the longest queues are returned.
     */
    public fun unservable(nowMillis: Long, placementsPerSecond: Double): List<QueuedRequest<T>> {
        if (placementsPerSecond <= 0.0) return byWorkspace.values.flatten()
        var servable = 0
        return inTurns(nowMillis).filter { request ->
            val placedAtMillis = nowMillis + servable * MILLIS_PER_SECOND / placementsPerSecond
            val isTooLate = placedAtMillis > request.queueUntilMillis
            if (!isTooLate) servable++
            isTooLate
        }
    }

    /** Returns all queued requests. */
    public fun all(): List<QueuedRequest<T>> = byWorkspace.values.flatten()

    /** Removes and returns all requests. */
    public fun removeAll(): List<QueuedRequest<T>> = all().also {
        byWorkspace.clear()
        size = 0
    }

    private fun inPriorityOrder(nowMillis: Long): List<QueuedRequest<T>> = byWorkspace
        .flatMap { (workspace, queue) ->
            val recentTokens = workspace?.let { accounts.recentTokens(nowMillis, it) } ?: 0.0
            queue.take(MAX_OFFERED_PER_WORKSPACE).map { Ranked(it, recentTokens) }
        }
        .sortedWith(compareBy({ it.request.rank }, { it.recentTokens }, { it.request.arrivedAtMillis }))
        .map { it.request }

    private fun inTurns(nowMillis: Long): List<QueuedRequest<T>> = byWorkspace
        .flatMap { (workspace, queue) ->
            val recentTokens = workspace?.let { accounts.recentTokens(nowMillis, it) } ?: 0.0
            queue.mapIndexed { turn, request -> turn to Ranked(request, recentTokens) }
        }
        .sortedWith(compareBy({ it.second.request.rank }, { it.first }, { it.second.recentTokens }))
        .map { it.second.request }

    private class Ranked<T>(val request: QueuedRequest<T>, val recentTokens: Double)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Requests of a workspace offered per round; more than one, because the first may need an upstream that is full. */
        const val MAX_OFFERED_PER_WORKSPACE = 4
    }
}
