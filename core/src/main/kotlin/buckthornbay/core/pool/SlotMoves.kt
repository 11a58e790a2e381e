package buckthornbay.core.pool

import buckthornbay.protocol.HostId
import buckthornbay.protocol.UpstreamId

/**
 * Moves slots between hosts towards a target, with as few changes as that takes.
 *
 * Slots that lie idle move at once to where work waits; slots in use move only at a rebalance. No slot is promised before the
 * host that had it has given it up.
 */
internal class SlotMoves(
    private val capacity: Map<UpstreamId, Int>,
    private val views: Collection<HolderView>,
    private val targets: Map<HostId, Int>,
) {
    fun run(mayRebalance: Boolean) {
        views.forEach { leaveLostUpstreams(it) }
        capacity.keys.forEach { cutToCapacity(it) }
        raise()
        val wanted = views.filter { it.queued > 0 }.sumOf { missing(it) }
        if (wanted > 0) {
            val reclaimed = reclaim(wanted - underWay()) { minOf(it.idleSlots(), surplus(it)) }
            if (mayRebalance) reclaim(wanted - underWay() - reclaimed) { view -> surplus(view).takeIf { it >= MIN_MOVE } ?: 0 }
        } else if (mayRebalance) {
            evenOut()
        }
        raise()
    }

    /** Slots that were taken from a host and not confirmed yet; they come free without further moves. */
    private fun underWay(): Int =
        capacity.keys.sumOf { upstream -> views.sumOf { it.committedAt(upstream) - (it.allocated[upstream] ?: 0) } }

    private fun missing(view: HolderView): Int = maxOf(0, targets.getValue(view.host) - view.allocatedCount)

    private fun surplus(view: HolderView): Int = maxOf(0, view.allocatedCount - targets.getValue(view.host))

    private fun leaveLostUpstreams(view: HolderView) {
        if (view.allocated.keys.removeAll { it !in capacity }) view.changed = true
    }

    private fun cutToCapacity(upstream: UpstreamId) {
        var excess = views.sumOf { it.allocated[upstream] ?: 0 } - capacity.getValue(upstream)
        while (excess > 0) {
            val view = views.filter { upstream in it.allocated }
                .maxWith(compareBy({ idleAt(it, upstream) }, { it.allocated.getValue(upstream) }, { it.host.value }))
            take(view, upstream)
            excess--
        }
    }

    private fun reclaim(wanted: Int, offered: (HolderView) -> Int): Int {
        var taken = 0
        while (taken < wanted) {
            val view = views.maxWith(compareBy({ offered(it) }, { it.host.value }))
            if (offered(view) <= 0) return taken
            take(
                view,
                view.allocated.keys.maxWith(
                    compareBy({
                        idleAt(view, it)
                    }, { view.allocated.getValue(it) }, { it.value }),
                ),
            )
            taken++
        }
        return taken
    }

    /** Spreads idle slots ahead of demand, so that a request at any host finds one. */
    private fun evenOut() {
        val short = views.sumOf { missing(it) }
        if (short > 0) reclaim(short) { view -> minOf(view.idleSlots(), surplus(view)).takeIf { it >= MIN_MOVE } ?: 0 }
    }

    private fun raise() {
        val order = views.sortedWith(compareBy({ it.queued == 0 }, { -missing(it) }, { it.host.value }))
        for (view in order) {
            while (missing(view) > 0) {
                val upstream = roomiest(view) ?: break
                view.allocated.merge(upstream, 1, Int::plus)
                view.changed = true
            }
        }
    }

    private fun roomiest(view: HolderView): UpstreamId? {
        val room = capacity.keys.associateWith { roomFor(view, it) }.filterValues { it > 0 }
        return room.keys.maxWithOrNull(compareBy({ room.getValue(it).toDouble() / capacity.getValue(it) }, { it.value }))
    }

    private fun roomFor(view: HolderView, upstream: UpstreamId): Int {
        val limit = capacity.getValue(upstream)
        val unallocated = limit - views.sumOf { it.allocated[upstream] ?: 0 }
        val alreadyCommitted = view.committedAt(upstream) - (view.allocated[upstream] ?: 0)
        val uncommitted = maxOf(0, limit - views.sumOf { it.committedAt(upstream) })
        return minOf(unallocated, alreadyCommitted + uncommitted)
    }

    private fun take(view: HolderView, upstream: UpstreamId) {
        val left = view.allocated.getValue(upstream) - 1
        if (left == 0) view.allocated.remove(upstream) else view.allocated[upstream] = left
        view.changed = true
    }

    private fun idleAt(view: HolderView, upstream: UpstreamId): Int =
        (view.allocated[upstream] ?: 0) - (view.use[upstream]?.inUse ?: 0)

    private companion object {
        /** Fewest slots in use that are worth a move. */
        const val MIN_MOVE = 2
    }
}
