package buckthornbay.core.node

import buckthornbay.core.membership.rendezvousOrder
import buckthornbay.core.pool.FallbackShare
import buckthornbay.core.pool.HolderEffect
import buckthornbay.core.pool.PoolHolder
import buckthornbay.core.pool.PoolOwner
import buckthornbay.core.pool.PoolPlan
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.ServiceTotals

/** The pools known to one host: the owner of each, the host's own scheduler for each, and the pools that the host owns. */
internal class PoolTable(private val settings: NodeSettings) {
    private val self = settings.self
    private var plans: Map<PoolId, PoolPlan> = emptyMap()
    private val holders = LinkedHashMap<PoolId, PoolHolder>()
    private val owned = LinkedHashMap<PoolId, PoolOwner>()
    private val owners = HashMap<PoolId, HostId>()
    private var fallbacks: Map<PoolId, FallbackShare> = emptyMap()

    /** A change of a pool's owner, with the resulting effects of this host's scheduler for it. */
    data class OwnershipChange(val pool: PoolId, val from: HostId?, val to: HostId, val effects: List<HolderEffect>)

    /** The effects of applying a new plan to this host's scheduler for [pool]. */
    data class PlanUpdate(val pool: PoolId, val effects: List<HolderEffect>)

    val isBusy: Boolean
        get() = owned.values.any { it.isBusy } || holders.values.any { it.runningCount + it.queuedCount > 0 }

    fun holders(): Map<PoolId, PoolHolder> = holders

    fun owned(): Map<PoolId, PoolOwner> = owned

    fun ownedPool(pool: PoolId): PoolOwner? = owned[pool]

    fun ownerOf(pool: PoolId): HostId? = owners[pool]

    fun owners(): Set<HostId> = owners.values.toSet()

    fun receiveTotals(message: ServiceTotals) {
        owned.filterKeys { it != message.pool }.values.forEach { it.receiveTotals(message) }
    }

    /** Returns this host's scheduler for [pool], created at first use; null if the desired state has no such pool. */
    fun holderOf(pool: PoolId): PoolHolder? {
        val plan = plans[pool] ?: return null
        return holders.getOrPut(pool) {
            PoolHolder(self.host, self.incarnation, plan, settings.holder).apply { fallbacks[pool]?.let(::setFallback) }
        }
    }

    /** Returns the pool of the local region if it has upstreams, else the pool with the fewest requests queued at this host. */
    fun choose(candidates: Collection<PoolId>): PoolId? {
        val usable = candidates.filter { plans[it]?.upstreams?.isNotEmpty() == true }
        return usable.firstOrNull { it.region == self.region }
            ?: usable.minWithOrNull(compareBy({ holders[it]?.queuedCount ?: 0 }, { it.toString() }))
    }

    fun loadPermille(): Int {
        val slots = holders.values.sumOf { it.slotCount }
        val busy = holders.values.sumOf { it.runningCount + it.queuedCount }
        return if (slots == 0) 0 else (busy * PERMILLE / slots).coerceAtMost(PERMILLE)
    }

    /** Applies [newPlans]; the scheduler of a removed pool is dropped only if it has no queued or running requests. */
    fun applyPlans(nowMillis: Long, newPlans: Map<PoolId, PoolPlan>): List<PlanUpdate> {
        plans = newPlans
        newPlans.keys.filter { it.region == self.region }.forEach { holderOf(it) }
        holders.entries.removeIf { (pool, holder) -> pool !in newPlans && holder.runningCount + holder.queuedCount == 0 }
        owned.keys.removeIf { it !in newPlans }
        owners.keys.removeIf { it !in newPlans }
        newPlans.forEach { (pool, plan) -> owned[pool]?.applyPlan(nowMillis, plan) }
        return newPlans.mapNotNull { (pool, plan) -> holders[pool]?.let { PlanUpdate(pool, it.applyPlan(nowMillis, plan)) } }
    }

    /** Assigns each pool's owner by rendezvous hashing over the [live] members, and updates the fallback shares. */
    fun reassignOwners(nowMillis: Long, live: List<Member>): List<OwnershipChange> {
        fallbacks = plans.keys.associateWith { fallbackShare(it, live) }
        fallbacks.forEach { (pool, share) -> holders[pool]?.setFallback(share) }
        return plans.keys.mapNotNull { pool -> reassignOwner(nowMillis, pool, live) }
    }

    private fun reassignOwner(nowMillis: Long, pool: PoolId, live: List<Member>): OwnershipChange? {
        val to = rendezvousOrder(pool.toString(), candidateHosts(pool, live)).firstOrNull() ?: return null
        val from = owners.put(pool, to)
        if (from == to) return null
        if (to == self.host) {
            owned[pool] = PoolOwner(self.host, epoch = 1, plans.getValue(pool), nowMillis, settings.owner)
        } else {
            owned.remove(pool)
        }
        return OwnershipChange(pool, from, to, holders[pool]?.ownerChanged(nowMillis).orEmpty())
    }

    private fun fallbackShare(pool: PoolId, live: List<Member>): FallbackShare {
        val candidates = (candidateHosts(pool, live) + self.host).distinct().sortedBy { it.value }
        return FallbackShare(candidates.indexOf(self.host), candidates.size)
    }

    private fun candidateHosts(pool: PoolId, live: List<Member>): List<HostId> {
        val candidates = live.filter { it.region == pool.region }
        return candidates.ifEmpty { live }.map { it.host }
    }

    private companion object {
        const val PERMILLE = 1_000
    }
}
