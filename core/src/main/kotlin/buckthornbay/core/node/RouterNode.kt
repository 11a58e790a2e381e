package buckthornbay.core.node

import buckthornbay.core.config.StateAdoption
import buckthornbay.core.membership.HostReport
import buckthornbay.core.membership.Membership
import buckthornbay.core.membership.OutgoingHeartbeat
import buckthornbay.core.membership.rendezvousOrder
import buckthornbay.core.pool.AttemptOutcome
import buckthornbay.core.pool.HolderEffect
import buckthornbay.core.pool.PoolPlan
import buckthornbay.core.pool.PoolRequest
import buckthornbay.core.pool.RefusalReason
import buckthornbay.core.pool.poolPlans
import buckthornbay.protocol.Allocation
import buckthornbay.protocol.DemandReport
import buckthornbay.protocol.Heartbeat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.HostStatus
import buckthornbay.protocol.Member
import buckthornbay.protocol.MemberStatus
import buckthornbay.protocol.PeerEnvelope
import buckthornbay.protocol.PeerMessage
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.PoolStatus
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.ServiceTotals
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.VersionedState

/**
 * All decisions of one router: membership, ownership of pools, scheduling and the desired state in force.
 *
 * It touches no clock, thread or socket: its caller tells it the time and what happened, and carries out the effects that it
 * returns. It is to be called from one thread.
 */
public class RouterNode(private val settings: NodeSettings) {
    private val self = settings.self.host
    private val membership = Membership(settings.self, settings.seedUrls, settings.random, settings.membership)
    private val adoption = StateAdoption()
    private val pools = PoolTable(settings)
    private var watching = false
    private var seenMembers: List<Member> = emptyList()
    private var leavingUpstreams: Set<UpstreamId> = emptySet()
    private var totalsAtMillis = 0L

    /** Bounds the control traffic that can wait. */
    public val budget: ControlBudget = ControlBudget(DEFAULT_BYTES_PER_SECOND)

    /** Whether the host takes no new work. */
    public var draining: Boolean = false
        private set

    /** Returns the requests that wait at this host for a slot of [pool]. */
    public fun queuedCount(pool: PoolId): Int = pools.holders()[pool]?.queuedCount ?: 0

    /** The desired state in force; null until the first one arrives. */
    public val state: VersionedState? get() = adoption.current

    /** Whether requests wait or run here or in a pool that this host owns, so that time must be told often. */
    public val isBusy: Boolean get() = pools.isBusy

    /** The hosts that take part in decisions. */
    public val liveMembers: List<Member> get() = membership.live()

    /** Returns how busy [host] said it was, in thousandths. */
    public fun loadPermilleOf(host: HostId): Int = membership.loadPermilleOf(host)

    /**
     * Picks one of the [candidates]: the own region's pool where it has upstreams, else the least loaded; null where none has
     * any.
     */
    public fun choosePool(candidates: Collection<PoolId>): PoolId? = pools.choose(candidates)

    /** Takes in a request for [pool]. */
    public fun arrive(nowMillis: Long, pool: PoolId, request: PoolRequest): List<NodeEffect> {
        val holder = pools.holderOf(pool) ?: return listOf(NodeEffect.Request(pool, noUpstream(request)))
        return carry(nowMillis, pool, holder.arrive(nowMillis, request))
    }

    /** Forgets a waiting request; returns false where it does not wait here. */
    public fun withdraw(pool: PoolId, id: RequestId): Boolean = pools.holderOf(pool)?.withdraw(id) ?: false

    /** Notes that a running request has cost [units] cost units so far. */
    public fun progress(pool: PoolId, id: RequestId, units: Double) {
        pools.holderOf(pool)?.progress(id, units)
    }

    /** Notes that the answer of a running request has begun to reach its caller. */
    public fun answering(nowMillis: Long, pool: PoolId, id: RequestId) {
        pools.holderOf(pool)?.answering(nowMillis, id)
    }

    /** Settles a running request at [units] cost units. */
    public fun end(nowMillis: Long, pool: PoolId, id: RequestId, units: Double, outcome: AttemptOutcome): List<NodeEffect> {
        val holder = pools.holderOf(pool) ?: return emptyList()
        return carry(nowMillis, pool, holder.end(nowMillis, id, units, outcome))
    }

    /** Takes in what a peer sent. */
    public fun receive(nowMillis: Long, envelope: PeerEnvelope): List<NodeEffect> {
        membership.recordContact(nowMillis, envelope.from)
        return envelope.messages.flatMap { receive(nowMillis, it) } + followMembers(nowMillis)
    }

    /** Notes that [host] did not answer. */
    public fun markUnreachable(nowMillis: Long, host: HostId): List<NodeEffect> {
        membership.markUnreachable(nowMillis, host)
        return followMembers(nowMillis)
    }

    /** Puts [offered] in force if it is newer than what is. */
    public fun offerState(nowMillis: Long, offered: VersionedState): List<NodeEffect> {
        if (!adoption.offer(offered)) return emptyList()
        budget.setRate(offered.state.policy.controlBytesPerSecond)
        return listOf(NodeEffect.StateInForce(offered)) + adoptPlans(nowMillis) + announce()
    }

    /** Learns which upstreams are leaving by the host list or by their own word. */
    public fun setLeavingUpstreams(nowMillis: Long, leaving: Set<UpstreamId>): List<NodeEffect> {
        if (leaving == leavingUpstreams) return emptyList()
        leavingUpstreams = leaving
        return adoptPlans(nowMillis)
    }

    /** Takes no new work from now on and tells the peers. */
    public fun drain(nowMillis: Long): List<NodeEffect> {
        if (draining) return emptyList()
        draining = true
        membership.leave()
        return followMembers(nowMillis) + announce()
    }

    /**
     * Lets time pass: heartbeats, deadlines, renewals. To be called every few milliseconds while [isBusy], else a few times a
     * second.
     */
    public fun tick(nowMillis: Long): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        membership.tick(nowMillis, hostReport()).forEach { effects += send(it) }
        effects += followMembers(nowMillis)
        val spacingMillis = budget.spacingMillis(nowMillis)
        pools.holders().forEach { (pool, holder) ->
            holder.setReportSpacing(spacingMillis)
            effects += carry(nowMillis, pool, holder.tick(nowMillis))
        }
        effects += tickOwners(nowMillis)
        return effects
    }

    /** Returns this host's account of itself. */
    public fun status(): HostStatus = HostStatus(
        host = self,
        incarnation = settings.self.incarnation,
        stateVersion = adoption.version,
        draining = draining,
        members = membership.all(),
        pools = pools.holders().map { (pool, holder) ->
            PoolStatus(
                pool = pool,
                owner = pools.ownerOf(pool),
                epoch = holder.epoch,
                slots = holder.slotCount,
                inUse = holder.runningCount,
                queued = holder.queuedCount,
                fallback = holder.usesFallback,
            )
        },
        requestsInProgress = pools.holders().values.sumOf { it.runningCount + it.queuedCount },
    )

    private fun receive(nowMillis: Long, message: PeerMessage): List<NodeEffect> = when (message) {
        is Heartbeat -> receiveHeartbeat(nowMillis, message)
        is DemandReport -> receiveReport(nowMillis, message)
        is Allocation -> receiveAllocation(nowMillis, message)
        is ServiceTotals -> pools.receiveTotals(message).let { emptyList() }
    }

    private fun receiveHeartbeat(nowMillis: Long, heartbeat: Heartbeat): List<NodeEffect> {
        val reply = membership.receive(nowMillis, heartbeat, hostReport())
        val effects = ArrayList<NodeEffect>()
        if (reply != null) effects += send(reply)
        if (adoption.shouldFetch(nowMillis, heartbeat.stateVersion)) {
            effects += NodeEffect.FetchState(heartbeat.sender.url, heartbeat.stateVersion)
        }
        return effects
    }

    private fun receiveReport(nowMillis: Long, report: DemandReport): List<NodeEffect> {
        val owner = pools.ownedPool(report.pool) ?: return emptyList()
        val reply = owner.receive(nowMillis, report) ?: return emptyList()
        val effects = ArrayList<NodeEffect>()
        effects += deliver(nowMillis, reply.host, reply)
        effects += pushChanged(nowMillis, report.pool)
        return effects
    }

    private fun receiveAllocation(nowMillis: Long, allocation: Allocation): List<NodeEffect> {
        if (allocation.owner != pools.ownerOf(allocation.pool)) return emptyList()
        val holder = pools.holderOf(allocation.pool) ?: return emptyList()
        return carry(nowMillis, allocation.pool, holder.allocate(nowMillis, allocation))
    }

    private fun carry(nowMillis: Long, pool: PoolId, effects: List<HolderEffect>): List<NodeEffect> = effects.flatMap { effect ->
        when (effect) {
            is HolderEffect.Report -> pools.ownerOf(pool)?.let { deliver(nowMillis, it, effect.report) }.orEmpty()
            else -> listOf(NodeEffect.Request(pool, effect))
        }
    }

    private fun deliver(nowMillis: Long, to: HostId, message: PeerMessage): List<NodeEffect> {
        if (to == self) return receive(nowMillis, message)
        val member = membership.find(to) ?: return emptyList()
        return listOf(NodeEffect.Send(member.url, to, listOf(message)))
    }

    private fun pushChanged(nowMillis: Long, pool: PoolId): List<NodeEffect> =
        pools.ownedPool(pool)?.takeChanged(nowMillis, budget.spacingMillis(nowMillis)).orEmpty()
            .flatMap { deliver(nowMillis, it.host, it) }

    private fun tickOwners(nowMillis: Long): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        for ((pool, owner) in pools.owned()) {
            owner.tick(nowMillis)
            effects += pushChanged(nowMillis, pool)
        }
        if (nowMillis - totalsAtMillis >= settings.totalsMillis) {
            totalsAtMillis = nowMillis
            effects += exchangeTotals(nowMillis)
        }
        return effects
    }

    private fun exchangeTotals(nowMillis: Long): List<NodeEffect> {
        val messages = pools.owned().values.map { it.serviceTotals() }.filter { it.totals.isNotEmpty() }
        val otherOwners = pools.owners() - self
        messages.forEach { pools.receiveTotals(it) }
        return messages.flatMap { message -> otherOwners.sortedBy { it.value }.flatMap { deliver(nowMillis, it, message) } }
    }

    /** Moves ownership and the watch to where the present members say they belong. */
    private fun followMembers(nowMillis: Long): List<NodeEffect> {
        val live = membership.live().sortedBy { it.host.value }
        if (live.map(::rankingKey) == seenMembers.map(::rankingKey)) return emptyList()
        val gone = seenMembers.map { it.host }.toSet() - live.map { it.host }.toSet()
        seenMembers = live
        val effects = ArrayList<NodeEffect>()
        for (host in gone) pools.owned().values.forEach { it.hostGone(nowMillis, host) }
        effects += followOwners(nowMillis)
        effects += followWatch()
        return effects
    }

    private fun followOwners(nowMillis: Long): List<NodeEffect> = pools.follow(nowMillis, seenMembers).flatMap { move ->
        val note = NodeEffect.Note("pool ${move.pool} is owned by ${move.to}, before by ${move.from}")
        listOf(note) + carry(nowMillis, move.pool, move.effects)
    }

    private fun followWatch(): List<NodeEffect> {
        val watchers = rendezvousOrder("desired-state-watch", seenMembers.map { it.host }).take(settings.watchers)
        val shouldWatch = self in watchers
        if (shouldWatch == watching) return emptyList()
        watching = shouldWatch
        return listOf(NodeEffect.Watch(shouldWatch))
    }

    private fun adoptPlans(nowMillis: Long): List<NodeEffect> {
        val state = adoption.current ?: return emptyList()
        val plans: Map<PoolId, PoolPlan> = poolPlans(state.state, leavingUpstreams)
        val effects = pools.adopt(nowMillis, plans).flatMap { (pool, effects) -> carry(nowMillis, pool, effects) }
        return effects + followOwners(nowMillis)
    }

    private fun announce(): List<NodeEffect> = membership.announce(hostReport()).map { send(it) }

    private fun send(out: OutgoingHeartbeat): NodeEffect.Send =
        NodeEffect.Send(out.url, membership.all().firstOrNull { it.url == out.url }?.host, listOf(out.heartbeat))

    private fun hostReport() = HostReport(adoption.version, pools.loadPermille())

    private fun rankingKey(member: Member) = listOf(member.host, member.region, member.status == MemberStatus.LEAVING)

    private fun noUpstream(request: PoolRequest) =
        HolderEffect.Refuse(request, RefusalReason.NO_UPSTREAM, settings.holder.retryAfterMillis)

    private companion object {
        const val DEFAULT_BYTES_PER_SECOND = 4_096L
    }
}
