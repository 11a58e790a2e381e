package buckthornbay.core.pool

import buckthornbay.protocol.Allocation
import buckthornbay.protocol.DemandReport
import buckthornbay.protocol.HostId
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceDemand
import buckthornbay.protocol.WorkspaceId

/**
 * One host's scheduler for one pool. It queues the host's requests, dispatches them on the slots allocated by the pool's owner,
 * and reports demand and service to the owner.
 *
 * It performs no I/O: the caller executes the returned effects. It is mutable and deterministic: the same calls with the same
 * times return the same effects.
 */
public class PoolHolder(
    private val self: HostId,
    private val incarnation: Long,
    plan: PoolPlan,
    private val settings: HolderSettings = HolderSettings(),
) {
    /** The pool's current configuration from the desired state. */
    public var plan: PoolPlan = plan
        private set

    private val accounts = HolderAccounts(plan.streamsProgress)
    private val queues = LinkedHashMap<WorkspaceId, RequestQueue>()
    private val hedging = HedgingPolicy(settings)
    private var slots: Map<UpstreamId, Int> = emptyMap()
    private var probeSlots: Map<UpstreamId, Int> = emptyMap()
    private var allocation: Allocation? = null
    private var allocatedAtMillis = 0L
    private var unansweredSinceMillis: Long? = null
    private var lastEpoch = 0L
    private var reportVersion = 0L
    private var reportedAtMillis = Long.MIN_VALUE / 2
    private var reportUrgent = false
    private var nextReportIncludesHistory = false
    private var reportSpacingMillis = settings.minReportMillis
    private val reportedCharges = LinkedHashMap<Long, Map<WorkspaceId, Double>>()
    private var fallback = FallbackShare(rank = 0, hosts = 1)

    /** Number of queued requests. */
    public val queuedCount: Int get() = queues.values.sumOf { it.size }

    /** Number of running requests. */
    public val runningCount: Int get() = accounts.runningCount

    /** Number of slots that this host may use now. */
    public val slotCount: Int get() = slots.values.sum()

    /** Epoch of the current allocation; 0 without an allocation. */
    public val epoch: Long get() = allocation?.epoch ?: 0

    /** Whether the host has no valid allocation, so that it uses its fallback share once the owner has not answered in time. */
    public val usesFallback: Boolean get() = allocation == null

    /** Dispatches, queues or refuses a new [request]. */
    public fun arrive(nowMillis: Long, request: PoolRequest): List<HolderEffect> {
        refusalOnArrival(nowMillis, request)?.let { return listOf(it) }
        queues.getOrPut(request.workspace) { RequestQueue() }.add(request)
        val effects = dispatch(nowMillis)
        if (queuedCount == 1) reportUrgent = true
        return effects + reportIfDue(nowMillis)
    }

    /** Removes the queued request [id] after its caller disconnected; returns false if it is not queued here. */
    public fun withdraw(id: RequestId): Boolean = queues.values.any { it.removeById(id) != null }

    /** Records that the running request [id] has cost [units] cost units so far. */
    public fun progress(id: RequestId, units: Double) {
        accounts.progress(id, units)
    }

    /** Records that the response of the running request [id] has started to reach the caller; it is no longer hedged. */
    public fun responseStarted(nowMillis: Long, id: RequestId) {
        accounts.runningOf(id)?.let { hedging.recordResponseStart(nowMillis, it) }
    }

    /** Removes the running request [id], settles its cost at [units] cost units and dispatches the next request. */
    public fun end(nowMillis: Long, id: RequestId, units: Double, outcome: AttemptOutcome): List<HolderEffect> {
        if (outcome == AttemptOutcome.COMPLETED) accounts.runningOf(id)?.let { hedging.recordResponseStart(nowMillis, it) }
        val ended = accounts.end(nowMillis, id, units, outcome) ?: return emptyList()
        val effects = dispatch(nowMillis)
        val slotRevoked = accounts.tallyOf(ended.upstream).inUse >= (slots[ended.upstream] ?: 0)
        val slotFreed = effects.isEmpty() && (slotRevoked || hasIdleSlot())
        if (slotFreed && allocation?.contended == true) reportUrgent = true
        return effects + reportIfDue(nowMillis)
    }

    /** Applies [newer] from the current owner of the pool; ignores it if a later allocation of the same owner was applied. */
    public fun applyAllocation(nowMillis: Long, newer: Allocation): List<HolderEffect> {
        val current = allocation
        if (current != null && newer.owner == current.owner && newer.isOlderThan(current)) return emptyList()
        lastEpoch = maxOf(lastEpoch, newer.epoch)
        val slotsReduced = newer.slots.any { it.slots < (slots[it.upstream] ?: 0) } || newer.slots.size < slots.size
        allocation = newer
        allocatedAtMillis = nowMillis
        if (newer.reportVersion >= reportVersion) unansweredSinceMillis = null
        slots = newer.slots.filterNot { it.probeOnly }.associate { it.upstream to it.slots }
        probeSlots = newer.slots.filter { it.probeOnly }.associate { it.upstream to it.slots }
        for (order in newer.order) {
            val account = accounts.accountOf(order.workspace)
            account.normalizedUnits = order.normalizedUnits
            reportedCharges[newer.reportVersion]?.get(order.workspace)?.let { account.acknowledgedUnits = it }
        }
        reportedCharges.keys.removeAll { it < newer.reportVersion }
        nextReportIncludesHistory = newer.wantsHistory
        val effects = dispatch(nowMillis)
        if (slotsReduced) return effects + report(nowMillis)
        return effects + reportIfDue(nowMillis)
    }

    /** Replaces the plan with [newer] and releases the slots at upstreams that it no longer lists. */
    public fun applyPlan(nowMillis: Long, newer: PoolPlan): List<HolderEffect> {
        plan = newer
        slots = slots.filterKeys { newer.slotsOf(it) > 0 }
        if (usesFallback) useFallback()
        return dispatch(nowMillis)
    }

    /** Sets the [share] of the pool that this host uses while the owner does not answer. */
    public fun setFallback(share: FallbackShare) {
        fallback = share
        if (usesFallback && slots.isNotEmpty()) useFallback()
    }

    /** Sets the minimum interval between reports to [millis] milliseconds, to stay within the control budget. */
    public fun setReportSpacing(millis: Long) {
        reportSpacingMillis = maxOf(settings.minReportMillis, millis)
    }

    /** Handles a change of the pool's owner: the new owner gets a report as soon as the report interval allows. */
    public fun ownerChanged(nowMillis: Long): List<HolderEffect> {
        nextReportIncludesHistory = true
        unansweredSinceMillis = null
        reportUrgent = true
        return reportIfDue(nowMillis)
    }

    /** Refuses expired requests, hedges late ones, uses the fallback share if the owner is silent, and reports periodically. */
    public fun tick(nowMillis: Long): List<HolderEffect> {
        val effects = ArrayList<HolderEffect>()
        for (queue in queues.values) {
            queue.removeExpired(nowMillis).forEach { effects += refuse(it, RefusalReason.DEADLINE_PASSED) }
        }
        queues.values.removeIf { it.size == 0 }
        fallBackIfOwnerSilent(nowMillis)
        effects += dispatch(nowMillis)
        effects += hedges(nowMillis)
        return effects + reportIfDue(nowMillis)
    }

    private fun refusalOnArrival(nowMillis: Long, request: PoolRequest): HolderEffect.Refuse? {
        val waiting = queues[request.workspace]?.size ?: 0
        return when {
            plan.upstreams.isEmpty() -> refuse(request, RefusalReason.NO_UPSTREAM)
            waiting >= plan.queueLimitOf(
                request.workspace,
                settings.maxQueuedPerWorkspace,
            ) -> refuse(request, RefusalReason.QUEUE_FULL)
            request.deadlineAtMillis <= nowMillis -> refuse(request, RefusalReason.DEADLINE_PASSED)
            else -> null
        }
    }

    private fun refuse(request: PoolRequest, reason: RefusalReason) =
        HolderEffect.Refuse(request, reason, settings.retryAfterMillis)

    private fun fallBackIfOwnerSilent(nowMillis: Long) {
        val current = allocation
        if (current != null && nowMillis - allocatedAtMillis > current.validForMillis) allocation = null
        val unanswered = unansweredSinceMillis ?: return
        if (allocation == null && nowMillis - unanswered > settings.fallbackAfterMillis) useFallback()
    }

    private fun useFallback() {
        slots = plan.upstreams.associate { it.id to fallback.slotsOf(it) }.filterValues { it > 0 }
    }

    private fun dispatch(nowMillis: Long): List<HolderEffect> {
        if (queues.isEmpty()) return emptyList()
        val effects = ArrayList<HolderEffect>()
        val selector = WorkspaceSelector(accounts, plan)
        while (hasIdleSlot()) {
            val request = selector.next(queues, longAllowed()) { upstreamsFor(it).isNotEmpty() } ?: break
            val upstream = chooseUpstream(nowMillis, request) ?: break
            queues.getValue(request.workspace).remove(request)
            if (queues.getValue(request.workspace).size == 0) queues.remove(request.workspace)
            accounts.start(nowMillis, request, upstream)
            selector.charge(request)
            effects += HolderEffect.Dispatch(request, upstream)
            probe(nowMillis, request)?.let { effects += it }
        }
        return effects
    }

    private fun probe(nowMillis: Long, request: PoolRequest): HolderEffect? {
        val upstream = probeSlots.keys.firstOrNull { hedging.shouldProbe(nowMillis, request, it, plan.policy.hedgeBudget) }
        if (upstream == null || idleAt(upstream, probeSlots.getValue(upstream)) <= 0) return null
        hedging.recordProbe(nowMillis, upstream)
        return accounts.runningOf(request.id)?.let { startHedge(nowMillis, it, upstream) }
    }

    private fun startHedge(nowMillis: Long, entry: RunningRequest, upstream: UpstreamId): HolderEffect {
        hedging.recordHedge(entry)
        val copy = entry.request.copy(id = RequestId("${entry.request.id}~hedge"), hedgeable = false)
        accounts.start(nowMillis, copy, upstream)
        return HolderEffect.Hedge(entry.request.id, copy, upstream)
    }

    private fun longAllowed(): Boolean {
        val limit = allocation?.longSlots ?: maxOf(1, (slotCount * plan.policy.longShare).toInt())
        return accounts.upstreams.values.sumOf { it.longInUse } < limit
    }

    private fun hasIdleSlot(): Boolean = slots.any { (upstream, count) -> idleAt(upstream, count) > 0 }

    private fun idleAt(upstream: UpstreamId, count: Int): Int = count - (accounts.upstreams[upstream]?.inUse ?: 0)

    private fun chooseUpstream(nowMillis: Long, request: PoolRequest): UpstreamId? {
        val idle = upstreamsFor(request)
        request.preferred?.let { if (it in idle && !hedging.isSuspect(nowMillis, it)) return it }
        return idle.minWithOrNull(compareBy({ hedging.isSuspect(nowMillis, it) }, { busyRatio(it) }, { it.value }))
    }

    /**
     * Returns the upstreams with an idle slot to which [request] may be sent.
     *
     * An upstream that already failed the request is included only if this host has no slots at any other. Otherwise the request
     * waits for a busy slot elsewhere, because the failed upstream would most likely use up another attempt.
     */
    private fun upstreamsFor(request: PoolRequest): List<UpstreamId> {
        val allExcluded = request.excluded.containsAll(slots.keys)
        return slots.filter { (upstream, count) -> idleAt(upstream, count) > 0 && (allExcluded || upstream !in request.excluded) }
            .keys.toList()
    }

    private fun busyRatio(upstream: UpstreamId): Double =
        (accounts.upstreams[upstream]?.inUse ?: 0).toDouble() / maxOf(1, plan.slotsOf(upstream))

    private fun hedges(nowMillis: Long): List<HolderEffect> {
        if (queuedCount > 0 || plan.policy.hedgeBudget <= 0.0) return emptyList()
        val late = accounts.runningRequests.filter { hedging.shouldHedge(nowMillis, it, plan.policy.hedgeBudget) }
        late.forEach { hedging.recordLate(nowMillis, it) }
        return late.mapNotNull { entry ->
            val idle = slots.filter { (upstream, count) -> upstream != entry.upstream && idleAt(upstream, count) > 0 }.keys
            val upstream =
                idle.minWithOrNull(compareBy({ hedging.isSuspect(nowMillis, it) }, { busyRatio(it) })) ?: return@mapNotNull null
            reportUrgent = true
            startHedge(nowMillis, entry, upstream)
        }
    }

    private fun reportIfDue(nowMillis: Long): List<HolderEffect> {
        val sinceMillis = nowMillis - reportedAtMillis
        val active = queuedCount > 0 || runningCount > 0
        val due =
            when {
                reportUrgent -> sinceMillis >= reportSpacingMillis
                active -> sinceMillis >= maxOf(settings.activeReportMillis, reportSpacingMillis)
                else -> sinceMillis >= settings.idleReportMillis
            }
        return if (due) report(nowMillis) else emptyList()
    }

    private fun report(nowMillis: Long): List<HolderEffect> {
        accounts.countBusy(nowMillis)
        reportVersion++
        reportedAtMillis = nowMillis
        reportUrgent = false
        if (unansweredSinceMillis == null) unansweredSinceMillis = nowMillis
        val charged = accounts.chargedUnits()
        reportedCharges[reportVersion] = charged
        if (reportedCharges.size > MAX_UNACKNOWLEDGED_REPORTS) reportedCharges.remove(reportedCharges.keys.first())
        val report =
            DemandReport(
                pool = plan.pool,
                host = self,
                incarnation = incarnation,
                version = reportVersion,
                epoch = allocation?.epoch ?: lastEpoch,
                allocationVersion = allocation?.version ?: 0,
                workspaces = workspaceDemands(nowMillis, charged),
                upstreams = accounts.upstreams.map { (upstream, tally) -> tally.toUpstreamUse(upstream) },
                includesHistory = nextReportIncludesHistory,
            )
        return listOf(HolderEffect.Report(report))
    }

    private fun workspaceDemands(nowMillis: Long, charged: Map<WorkspaceId, Double>): List<WorkspaceDemand> {
        queues.keys.forEach { accounts.accountOf(it) }
        val included = accounts.workspaces.filter { (workspace, account) ->
            nextReportIncludesHistory || workspace in queues || account.running > 0 || account.changed
        }
        return included.map { (workspace, account) ->
            account.changed = false
            demandOf(nowMillis, workspace, account, charged[workspace] ?: 0.0)
        }
    }

    private fun demandOf(
        nowMillis: Long,
        workspace: WorkspaceId,
        account: WorkspaceAccount,
        servedUnits: Double,
    ): WorkspaceDemand {
        val queue = queues[workspace]
        return WorkspaceDemand(
            workspace = workspace,
            servedUnits = servedUnits,
            acknowledgedUnits = if (nextReportIncludesHistory) account.acknowledgedUnits else 0.0,
            normalizedUnits = if (nextReportIncludesHistory) account.normalizedUnits else 0.0,
            queuedShort = queue?.shortSize ?: 0,
            queuedLong = queue?.longSize ?: 0,
            running = account.running,
            runningLong = account.runningLong,
            oldestWaitMillis = queue?.oldestArrivalMillis()?.let { nowMillis - it } ?: 0,
        )
    }

    private companion object {
        /** Maximum number of reports whose charges are kept until the owner acknowledges them. */
        const val MAX_UNACKNOWLEDGED_REPORTS = 16
    }
}

private fun Allocation.isOlderThan(other: Allocation): Boolean =
    epoch < other.epoch || (epoch == other.epoch && version < other.version)
