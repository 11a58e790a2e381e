package buckthornbay.core.pool

import buckthornbay.protocol.UpstreamId

/** Maps each host's number of slots to upstreams, without promising a slot before the host that had it has given it up. */
internal class SlotPlacement(private val capacity: Map<UpstreamId, Int>, private val views: Collection<HolderView>) {
    /** Returns the host's present slots, cut to [wanted] and to upstreams that have room; idle slots are cut first. */
    fun lower(view: HolderView, wanted: Int): Map<UpstreamId, Int> {
        val slots = HashMap(view.allocated.filter { (upstream, count) -> count > 0 && upstream in capacity })
        for (upstream in slots.keys.toList()) {
            val excess = views.sumOf { it.allocated[upstream] ?: 0 } - capacity.getValue(upstream)
            if (excess > 0) slots[upstream] = maxOf(0, slots.getValue(upstream) - excess)
        }
        while (slots.values.sum() > wanted) {
            val victim = slots.keys.maxWith(compareBy({ idleAt(view, it, slots) }, { slots.getValue(it) }, { it.value }))
            slots.merge(victim, -1, Int::plus)
        }
        return slots.filterValues { it > 0 }
    }

    /** Adds slots to the host up to [wanted] where upstreams have room; returns whether any was added. */
    fun raise(view: HolderView, wanted: Int): Boolean {
        var added = false
        while (view.allocated.values.sum() < wanted) {
            val upstream = roomiest(view) ?: return added
            view.allocated.merge(upstream, 1, Int::plus)
            added = true
        }
        return added
    }

    private fun roomiest(view: HolderView): UpstreamId? {
        val room = capacity.keys.associateWith { upstream -> roomFor(view, upstream) }
        return room.filterValues { it > 0 }.keys.maxWithOrNull(
            compareBy({ room.getValue(it).toDouble() / capacity.getValue(it) }, { it.value }),
        )
    }

    private fun roomFor(view: HolderView, upstream: UpstreamId): Int {
        val limit = capacity.getValue(upstream)
        val unallocated = limit - views.sumOf { it.allocated[upstream] ?: 0 }
        val alreadyCommitted = view.committedAt(upstream) - (view.allocated[upstream] ?: 0)
        val uncommitted = maxOf(0, limit - views.sumOf { it.committedAt(upstream) })
        return minOf(unallocated, alreadyCommitted + uncommitted)
    }

    private fun idleAt(view: HolderView, upstream: UpstreamId, slots: Map<UpstreamId, Int>): Int =
        slots.getValue(upstream) - (view.use[upstream]?.inUse ?: 0)
}
