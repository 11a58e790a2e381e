package buckthornbay.core.pool

import buckthornbay.protocol.HostId
import buckthornbay.protocol.UpstreamId

/**
 * A rebalancer that moves slots between hosts towards target numbers with few changes.
 *
 * Idle slots move immediately to hosts with queued requests; slots in use move only at a rebalance. A slot is granted to another
 * host only after its previous host has confirmed that it released it.
 */
internal class SlotRebalancer(
    private val capacity: Map<UpstreamId, Int>,
    private val views: Collection<HolderView>,
    private val targets: Map<HostId, Int>,
) {
    fun run(mayRebalance: Boolean) {
        views.forEach { dropRemovedUpstreams(it) }
        capacity.keys.forEach { trimToCapacity(it) }
        grantFreeSlots()
        val wanted = views.filter { it.queued > 0 }.sumOf { shortfall(it) }
        if (wanted > 0) {
            val reclaimed = reclaim(wanted - unreleased()) { minOf(it.idleSlots(), surplus(it)) }
            if (mayRebalance) reclaim(wanted - unreleased() - reclaimed) { view -> surplus(view).takeIf { it >= MIN_MOVE } ?: 0 }
        } else if (mayRebalance) {
            spreadIdleSlots()
        }
        grantFreeSlots()
    }

    /** Returns the number of revoked slots whose release is not confirmed yet; they become free without further moves. */
    private fun unreleased(): Int =
        capacity.keys.sumOf { upstream -> views.sumOf { it.committedAt(upstream) - (it.allocated[upstream] ?: 0) } }

    private fun shortfall(view: HolderView): Int = maxOf(0, targets.getValue(view.host) - view.allocatedCount)

    private fun surplus(view: HolderView): Int = maxOf(0, view.allocatedCount - targets.getValue(view.host))

    private fun dropRemovedUpstreams(view: HolderView) {
        if (view.allocated.keys.removeAll { it !in capacity }) view.changed = true
    }

    private fun trimToCapacity(upstream: UpstreamId) {
        var excess = views.sumOf { it.allocated[upstream] ?: 0 } - capacity.getValue(upstream)
        while (excess > 0) {
            val view = views.filter { upstream in it.allocated }
                .maxWith(compareBy({ idleAt(it, upstream) }, { it.allocated.getValue(upstream) }, { it.host.value }))
            revokeSlot(view, upstream)
            excess--
        }
    }

    private fun reclaim(wanted: Int, offered: (HolderView) -> Int): Int {
        var revoked = 0
        while (revoked < wanted) {
            val view = views.maxWith(compareBy({ offered(it) }, { it.host.value }))
            if (offered(view) <= 0) return revoked
            revokeSlot(
                view,
                view.allocated.keys.maxWith(
                    compareBy({
                        idleAt(view, it)
                    }, { view.allocated.getValue(it) }, { it.value }),
                ),
            )
            revoked++
        }
        return revoked
    }

    /** Spreads idle slots over the hosts ahead of demand, so that a request at any host finds one. */
    private fun spreadIdleSlots() {
        val wanted = views.sumOf { shortfall(it) }
        if (wanted > 0) reclaim(wanted) { view -> minOf(view.idleSlots(), surplus(view)).takeIf { it >= MIN_MOVE } ?: 0 }
    }

    private fun grantFreeSlots() {
        val order = views.sortedWith(compareBy({ it.queued == 0 }, { -shortfall(it) }, { it.host.value }))
        for (view in order) {
            while (shortfall(view) > 0) {
                val upstream = freestUpstream(view) ?: break
                view.allocated.merge(upstream, 1, Int::plus)
                view.changed = true
            }
        }
    }

    private fun freestUpstream(view: HolderView): UpstreamId? {
        val room = capacity.keys.associateWith { freeSlots(view, it) }.filterValues { it > 0 }
        return room.keys.maxWithOrNull(compareBy({ room.getValue(it).toDouble() / capacity.getValue(it) }, { it.value }))
    }

    private fun freeSlots(view: HolderView, upstream: UpstreamId): Int {
        val limit = capacity.getValue(upstream)
        val unallocated = limit - views.sumOf { it.allocated[upstream] ?: 0 }
        val alreadyCommitted = view.committedAt(upstream) - (view.allocated[upstream] ?: 0)
        val uncommitted = maxOf(0, limit - views.sumOf { it.committedAt(upstream) })
        return minOf(unallocated, alreadyCommitted + uncommitted)
    }

    private fun revokeSlot(view: HolderView, upstream: UpstreamId) {
        val left = view.allocated.getValue(upstream) - 1
        if (left == 0) view.allocated.remove(upstream) else view.allocated[upstream] = left
        view.changed = true
    }

    private fun idleAt(view: HolderView, upstream: UpstreamId): Int =
        (view.allocated[upstream] ?: 0) - (view.use[upstream]?.inUse ?: 0)

    private companion object {
        /** Minimum surplus of a host at which its slots in use are moved or its idle slots are spread. */
        const val MIN_MOVE = 2
    }
}
