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

/** The pools as one host sees them: who owns each, its own side of each, and the owner's side of those that it owns. */
internal class PoolTable(private val settings: NodeSettings) {
    private val self = settings.self
    private var plans: Map<PoolId, PoolPlan> = emptyMap()
    private val holders = LinkedHashMap<PoolId, PoolHolder>()
    private val owned = LinkedHashMap<PoolId, PoolOwner>()
    private val owners = HashMap<PoolId, HostId>()
    private var fallbacks: Map<PoolId, FallbackShare> = emptyMap()

    /** A pool whose ownership moved, with what this host's side of it decided because of that. */
    data class OwnerMove(val pool: PoolId, val from: HostId?, val to: HostId, val effects: List<HolderEffect>)

    /** What adopting a new plan made this host's side of [pool] decide. */
    data class PlanChange(val pool: PoolId, val effects: List<HolderEffect>)

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

    /** Returns this host's side of [pool], made at first use; null where the desired state has no such pool. */
    fun holderOf(pool: PoolId): PoolHolder? {
        val plan = plans[pool] ?: return null
        return holders.getOrPut(pool) {
            PoolHolder(self.host, self.incarnation, plan, settings.holder).apply { fallbacks[pool]?.let(::setFallback) }
        }
    }

    /** Picks the pool of the own region where it has upstreams, else the one with the least work waiting here. */
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

    /** Takes up new [newPlans]; pools that are gone are dropped once nothing of theirs runs here. */
    fun adopt(nowMillis: Long, newPlans: Map<PoolId, PoolPlan>): List<PlanChange> {
        plans = newPlans
        newPlans.keys.filter { it.region == self.region }.forEach { holderOf(it) }
        holders.entries.removeIf { (pool, holder) -> pool !in newPlans && holder.runningCount + holder.queuedCount == 0 }
        owned.keys.removeIf { it !in newPlans }
        owners.keys.removeIf { it !in newPlans }
        newPlans.forEach { (pool, plan) -> owned[pool]?.adopt(nowMillis, plan) }
        return newPlans.mapNotNull { (pool, plan) -> holders[pool]?.let { PlanChange(pool, it.adopt(nowMillis, plan)) } }
    }

    /** Moves ownership to where [live] members say it belongs, and renews the fallback shares. */
    fun follow(nowMillis: Long, live: List<Member>): List<OwnerMove> {
        fallbacks = plans.keys.associateWith { fallbackShare(it, live) }
        fallbacks.forEach { (pool, share) -> holders[pool]?.setFallback(share) }
        return plans.keys.mapNotNull { pool -> moveOwner(nowMillis, pool, live) }
    }

    private fun moveOwner(nowMillis: Long, pool: PoolId, live: List<Member>): OwnerMove? {
        val to = rendezvousOrder(pool.toString(), hostsNear(pool, live)).firstOrNull() ?: return null
        val from = owners.put(pool, to)
        if (from == to) return null
        if (to == self.host) {
            owned[pool] = PoolOwner(self.host, epoch = 1, plans.getValue(pool), nowMillis, settings.owner)
        } else {
            owned.remove(pool)
        }
        return OwnerMove(pool, from, to, holders[pool]?.ownerChanged(nowMillis).orEmpty())
    }

    private fun fallbackShare(pool: PoolId, live: List<Member>): FallbackShare {
        val near = (hostsNear(pool, live) + self.host).distinct().sortedBy { it.value }
        return FallbackShare(near.indexOf(self.host), near.size)
    }

    private fun hostsNear(pool: PoolId, live: List<Member>): List<HostId> {
        val near = live.filter { it.region == pool.region }
        return near.ifEmpty { live }.map { it.host }
    }

    private companion object {
        const val PERMILLE = 1_000
    }
}
