package buckthornbay.core.admission

import buckthornbay.protocol.WorkspaceId

/** Which waiting requests go first, in this order. */
public enum class WaitingRank {
    /** The request is within its workspace's share and can still be answered in time. */
    DUE,

    /** The request can still be answered in time; its workspace asks for more than its share. */
    BEYOND_SHARE,

    /** The answer will be late anyway. */
    LATE,
}

/**
 * A request that waits at this host for room at an upstream.
 *
 * @property workspace whose share it draws on; null on public routes, which share one place.
 * @property rank which requests go before others, whatever their workspaces were given.
 * @property queueUntilMillis when waiting on can't bring an answer in time any more.
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
 * The requests for one service that wait at this host: those within their workspace's share first, and among these the
 * workspace that was given least lately.
 *
 * It answers load beyond what the upstreams can take, from few workspaces or many: engines run requests as they arrive, so
 * what must be ordered waits here. Requests of one workspace keep their order of arrival.
 */
public class FairQueue<T>(private val accounts: FleetAccounts) {
    private val byWorkspace = LinkedHashMap<WorkspaceId?, ArrayDeque<QueuedRequest<T>>>()

    /** Requests that wait. */
    public var size: Int = 0
        private set

    /** Returns the workspaces of which something has waited since [sinceMillis] or longer. */
    public fun workspacesWaitingSince(sinceMillis: Long): Set<WorkspaceId> =
        byWorkspace.filterValues { queue -> queue.any { it.arrivedAtMillis <= sinceMillis } }.keys.filterNotNull().toSet()

    /** Returns how many requests of [workspace] wait. */
    public fun sizeOf(workspace: WorkspaceId?): Int = byWorkspace[workspace]?.size ?: 0

    /** Puts [waiting] behind its workspace's others. */
    public fun add(waiting: QueuedRequest<T>) {
        byWorkspace.getOrPut(waiting.workspace) { ArrayDeque() }.addLast(waiting)
        size++
    }

    /** Takes [waiting] out; returns false where it does not wait. */
    public fun remove(waiting: QueuedRequest<T>): Boolean {
        val queue = byWorkspace[waiting.workspace] ?: return false
        if (!queue.remove(waiting)) return false
        size--
        if (queue.isEmpty()) byWorkspace.remove(waiting.workspace)
        return true
    }

    /**
     * Offers waiting requests to [place] in the order in which they deserve service until none is placed any more.
     *
     * A request that finds no room does not hold back other workspaces, whose requests may be smaller.
     */
    public fun placeWhile(nowMillis: Long, place: (QueuedRequest<T>) -> Boolean) {
        var placed = true
        while (placed && size > 0) {
            placed = inOrder(nowMillis).any { waiting -> place(waiting).also { if (it) remove(waiting) } }
        }
    }

    /** Takes out and returns all requests. */
    public fun removeAll(): List<QueuedRequest<T>> = byWorkspace.values.flatten().also {
        byWorkspace.clear()
        size = 0
    }

    private fun inOrder(nowMillis: Long): List<QueuedRequest<T>> = byWorkspace
        .flatMap { (workspace, queue) ->
            val recentTokens = workspace?.let { accounts.recentTokens(nowMillis, it) } ?: 0.0
            queue.take(OFFERED_EACH).map { Offered(it, recentTokens) }
        }
        .sortedWith(compareBy({ it.waiting.rank }, { it.recentTokens }, { it.waiting.arrivedAtMillis }))
        .map { it.waiting }

    private class Offered<T>(val waiting: QueuedRequest<T>, val recentTokens: Double)

    private companion object {
        /** Requests of one workspace that are offered in one round; the first may wait for an upstream that is full. */
        const val OFFERED_EACH = 4
    }
}
