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
 * Decision logic of one router: membership, ownership of pools, scheduling and the current desired state.
 *
 * It uses no clock, threads or I/O: the caller passes the current time and events, and executes the returned effects. It is not
 * thread-safe and must be called from a single thread.
 */
public class RouterNode(private val settings: NodeSettings) {
    private val self = settings.self.host
    private val membership = Membership(settings.self, settings.seedUrls, settings.random, settings.membership)
    private val adoption = StateAdoption()
    private val pools = PoolTable(settings)
    private var watching = false
    private var knownMembers: List<Member> = emptyList()
    private var leavingUpstreams: Set<UpstreamId> = emptySet()
    private var totalsAtMillis = 0L

    /** Rate limit of the control traffic. */
    public val budget: ControlBudget = ControlBudget(DEFAULT_BYTES_PER_SECOND)

    /** Whether the host is shutting down and accepts no new requests. */
    public var draining: Boolean = false
        private set

    /** Returns the number of requests queued at this host for [pool]. */
    public fun queuedCount(pool: PoolId): Int = pools.holders()[pool]?.queuedCount ?: 0

    /** The current desired state; null until the first one arrives. */
    public val state: VersionedState? get() = adoption.current

    /** Whether requests are queued or running at this host or in a pool that it owns, so that [tick] must be called often. */
    public val isBusy: Boolean get() = pools.isBusy

    /** Members that take part in decisions. */
    public val liveMembers: List<Member> get() = membership.live()

    /** Returns the load that [host] last reported, in thousandths of its capacity; 0 if it has reported none. */
    public fun loadPermilleOf(host: HostId): Int = membership.loadPermilleOf(host)

    /**
     * Returns the pool of [candidates] to use: that of the local region if it has upstreams, else the one with the fewest
     * requests queued at this host; null if none has upstreams.
     */
    public fun choosePool(candidates: Collection<PoolId>): PoolId? = pools.choose(candidates)

    /** Dispatches, queues or refuses a new [request] for [pool]. */
    public fun arrive(nowMillis: Long, pool: PoolId, request: PoolRequest): List<NodeEffect> {
        val holder = pools.holderOf(pool) ?: return listOf(NodeEffect.Request(pool, noUpstream(request)))
        return nodeEffects(nowMillis, pool, holder.arrive(nowMillis, request))
    }

    /** Removes the queued request [id]; returns false if it is not queued here. */
    public fun withdraw(pool: PoolId, id: RequestId): Boolean = pools.holderOf(pool)?.withdraw(id) ?: false

    /** Records that the running request [id] has cost [units] cost units so far. */
    public fun progress(pool: PoolId, id: RequestId, units: Double) {
        pools.holderOf(pool)?.progress(id, units)
    }

    /** Records that the response of the running request [id] has started to reach its caller. */
    public fun responseStarted(nowMillis: Long, pool: PoolId, id: RequestId) {
        pools.holderOf(pool)?.responseStarted(nowMillis, id)
    }

    /** Removes the running request [id] and settles its cost at [units] cost units. */
    public fun end(nowMillis: Long, pool: PoolId, id: RequestId, units: Double, outcome: AttemptOutcome): List<NodeEffect> {
        val holder = pools.holderOf(pool) ?: return emptyList()
        return nodeEffects(nowMillis, pool, holder.end(nowMillis, id, units, outcome))
    }

    /** Processes the messages that a peer sent. */
    public fun receive(nowMillis: Long, envelope: PeerEnvelope): List<NodeEffect> {
        membership.recordContact(nowMillis, envelope.from)
        return envelope.messages.flatMap { receive(nowMillis, it) } + applyMembershipChanges(nowMillis)
    }

    /** Records that [host] did not answer. */
    public fun markUnreachable(nowMillis: Long, host: HostId): List<NodeEffect> {
        membership.markUnreachable(nowMillis, host)
        return applyMembershipChanges(nowMillis)
    }

    /** Applies [offered] if it is newer than the current desired state. */
    public fun offerState(nowMillis: Long, offered: VersionedState): List<NodeEffect> {
        if (!adoption.offer(offered)) return emptyList()
        budget.setRate(offered.state.policy.controlBytesPerSecond)
        return listOf(NodeEffect.ApplyState(offered)) + applyPlans(nowMillis) + announce()
    }

    /** Sets the upstreams that are [leaving] by the host list or their own status, and updates the plans. */
    public fun setLeavingUpstreams(nowMillis: Long, leaving: Set<UpstreamId>): List<NodeEffect> {
        if (leaving == leavingUpstreams) return emptyList()
        leavingUpstreams = leaving
        return applyPlans(nowMillis)
    }

    /** Returns whether [upstream] is leaving by the host list. */
    public fun isLeaving(upstream: UpstreamId): Boolean = upstream in leavingUpstreams

    /** Starts draining: the host accepts no new requests and announces to its peers that it is leaving. */
    public fun drain(nowMillis: Long): List<NodeEffect> {
        if (draining) return emptyList()
        draining = true
        membership.leave()
        return applyMembershipChanges(nowMillis) + announce()
    }

    /**
     * Handles everything that depends on time: heartbeats, deadlines, reports and allocations. Must be called every few
     * milliseconds while [isBusy], else a few times per second.
     */
    public fun tick(nowMillis: Long): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        membership.tick(nowMillis, hostReport()).forEach { effects += send(it) }
        effects += applyMembershipChanges(nowMillis)
        val spacingMillis = budget.spacingMillis(nowMillis)
        pools.holders().forEach { (pool, holder) ->
            holder.setReportSpacing(spacingMillis)
            effects += nodeEffects(nowMillis, pool, holder.tick(nowMillis))
        }
        effects += tickOwners(nowMillis)
        return effects
    }

    /** Returns the status of this host, its pools and the members that it knows. */
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
        effects += sendPendingAllocations(nowMillis, report.pool)
        return effects
    }

    private fun receiveAllocation(nowMillis: Long, allocation: Allocation): List<NodeEffect> {
        if (allocation.owner != pools.ownerOf(allocation.pool)) return emptyList()
        val holder = pools.holderOf(allocation.pool) ?: return emptyList()
        return nodeEffects(nowMillis, allocation.pool, holder.applyAllocation(nowMillis, allocation))
    }

    private fun nodeEffects(nowMillis: Long, pool: PoolId, effects: List<HolderEffect>): List<NodeEffect> =
        effects.flatMap { effect ->
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

    private fun sendPendingAllocations(nowMillis: Long, pool: PoolId): List<NodeEffect> =
        pools.ownedPool(pool)?.takePendingAllocations(nowMillis, budget.spacingMillis(nowMillis)).orEmpty()
            .flatMap { deliver(nowMillis, it.host, it) }

    private fun tickOwners(nowMillis: Long): List<NodeEffect> {
        val effects = ArrayList<NodeEffect>()
        for ((pool, owner) in pools.owned()) {
            owner.tick(nowMillis)
            effects += sendPendingAllocations(nowMillis, pool)
        }
        if (nowMillis - totalsAtMillis >= settings.totalsIntervalMillis) {
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

    /** Reassigns the owners of pools, and starts or stops the platform watch, if the live members have changed. */
    private fun applyMembershipChanges(nowMillis: Long): List<NodeEffect> {
        val live = membership.live().sortedBy { it.host.value }
        if (live.map(::rankingKey) == knownMembers.map(::rankingKey)) return emptyList()
        val removed = knownMembers.map { it.host }.toSet() - live.map { it.host }.toSet()
        knownMembers = live
        val effects = ArrayList<NodeEffect>()
        for (host in removed) pools.owned().values.forEach { it.removeHost(nowMillis, host) }
        effects += reassignOwners(nowMillis)
        effects += updateWatch()
        return effects
    }

    private fun reassignOwners(nowMillis: Long): List<NodeEffect> =
        pools.reassignOwners(nowMillis, knownMembers).flatMap { change ->
            val logDecision = NodeEffect.LogDecision("pool ${change.pool} is owned by ${change.to}, previously by ${change.from}")
            listOf(logDecision) + nodeEffects(nowMillis, change.pool, change.effects)
        }

    private fun updateWatch(): List<NodeEffect> {
        val watchers = rendezvousOrder("desired-state-watch", knownMembers.map { it.host }).take(settings.watchers)
        val shouldWatch = self in watchers
        if (shouldWatch == watching) return emptyList()
        watching = shouldWatch
        return listOf(NodeEffect.Watch(shouldWatch))
    }

    private fun applyPlans(nowMillis: Long): List<NodeEffect> {
        val state = adoption.current ?: return emptyList()
        val plans: Map<PoolId, PoolPlan> = poolPlans(state.state, leavingUpstreams)
        val effects = pools.applyPlans(nowMillis, plans).flatMap { (pool, effects) -> nodeEffects(nowMillis, pool, effects) }
        return effects + reassignOwners(nowMillis)
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
