package buckthornbay.core.pool

import buckthornbay.protocol.Allocation
import buckthornbay.protocol.DemandReport
import buckthornbay.protocol.HostId
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceDemand
import buckthornbay.protocol.WorkspaceId

/**
 * One host's side of one pool: it queues the host's requests, serves them on the slots that the pool's owner allocated, and
 * reports demand and service.
 *
 * It decides only; the caller of [arrive], [allocate] and the others carries out the effects that they return.
 * State changes in place, and the same calls with the same times always give the same effects.
 */
public class PoolHolder(
    private val self: HostId,
    private val incarnation: Long,
    plan: PoolPlan,
    private val settings: HolderSettings = HolderSettings(),
) {
    /** What the desired state says about the pool. */
    public var plan: PoolPlan = plan
        private set

    private val accounts = HolderAccounts(plan.streamsProgress)
    private val queues = LinkedHashMap<WorkspaceId, RequestQueue>()
    private val lateness = LatenessWatch(settings)
    private var slots: Map<UpstreamId, Int> = emptyMap()
    private var probeSlots: Map<UpstreamId, Int> = emptyMap()
    private var allocation: Allocation? = null
    private var allocatedAtMillis = 0L
    private var unansweredSinceMillis: Long? = null
    private var lastEpoch = 0L
    private var reportVersion = 0L
    private var reportedAtMillis = Long.MIN_VALUE / 2
    private var urgent = false
    private var recallNext = false
    private var spacingMillis = settings.minReportMillis
    private val reported = LinkedHashMap<Long, Map<WorkspaceId, Double>>()
    private var fallback = FallbackShare(rank = 0, hosts = 1)

    /** Requests that wait. */
    public val queuedCount: Int get() = queues.values.sumOf { it.size }

    /** Requests that run. */
    public val runningCount: Int get() = accounts.runningCount

    /** Slots that this host may use now. */
    public val slotCount: Int get() = slots.values.sum()

    /** Epoch of the allocation that is obeyed; 0 where there is none. */
    public val epoch: Long get() = allocation?.epoch ?: 0

    /** Whether the host works on its fallback share because the owner does not answer. */
    public val usesFallback: Boolean get() = allocation == null

    /** Takes in a new [request]: dispatches it, queues it or refuses it. */
    public fun arrive(nowMillis: Long, request: PoolRequest): List<HolderEffect> {
        refusalOnArrival(nowMillis, request)?.let { return listOf(it) }
        queues.getOrPut(request.workspace) { RequestQueue() }.add(request)
        val effects = dispatch(nowMillis)
        if (queuedCount == 1) urgent = true
        return effects + reportIfDue(nowMillis)
    }

    /** Forgets a waiting request whose caller left; returns false where it does not wait here. */
    public fun withdraw(id: RequestId): Boolean = queues.values.any { it.removeById(id) != null }

    /** Notes that the running request [id] has cost [units] cost units so far. */
    public fun progress(id: RequestId, units: Double) {
        accounts.progress(id, units)
    }

    /** Notes that the answer of the running request [id] has begun to reach the caller, so that no other attempt can win. */
    public fun answering(nowMillis: Long, id: RequestId) {
        accounts.runningOf(id)?.let { lateness.answered(nowMillis, it) }
    }

    /** Settles the running request [id] at [units] cost units and serves the next. */
    public fun end(nowMillis: Long, id: RequestId, units: Double, outcome: AttemptOutcome): List<HolderEffect> {
        if (outcome == AttemptOutcome.COMPLETED) accounts.runningOf(id)?.let { lateness.answered(nowMillis, it) }
        val ended = accounts.end(nowMillis, id, units, outcome) ?: return emptyList()
        val effects = dispatch(nowMillis)
        val givenUp = accounts.tallyOf(ended.upstream).inUse >= (slots[ended.upstream] ?: 0)
        val freed = effects.isEmpty() && (givenUp || hasIdleSlot())
        if (freed && allocation?.contended == true) urgent = true
        return effects + reportIfDue(nowMillis)
    }

    /**
     * Obeys [newer], which comes from the host that owns the pool now, unless a later allocation of that host is obeyed
     * already.
     */
    public fun allocate(nowMillis: Long, newer: Allocation): List<HolderEffect> {
        val current = allocation
        if (current != null && newer.owner == current.owner && newer.isOlderThan(current)) return emptyList()
        lastEpoch = maxOf(lastEpoch, newer.epoch)
        val lowered = newer.slots.any { it.slots < (slots[it.upstream] ?: 0) } || newer.slots.size < slots.size
        allocation = newer
        allocatedAtMillis = nowMillis
        if (newer.reportVersion >= reportVersion) unansweredSinceMillis = null
        slots = newer.slots.filterNot { it.probeOnly }.associate { it.upstream to it.slots }
        probeSlots = newer.slots.filter { it.probeOnly }.associate { it.upstream to it.slots }
        for (order in newer.order) {
            val account = accounts.accountOf(order.workspace)
            account.normalizedUnits = order.normalizedUnits
            reported[newer.reportVersion]?.get(order.workspace)?.let { account.acknowledgedUnits = it }
        }
        reported.keys.removeAll { it < newer.reportVersion }
        recallNext = newer.wantsHistory
        val effects = dispatch(nowMillis)
        if (lowered) return effects + report(nowMillis)
        return effects + reportIfDue(nowMillis)
    }

    /** Takes up a new plan of the pool; slots at upstreams that it no longer names are given up. */
    public fun adopt(nowMillis: Long, newer: PoolPlan): List<HolderEffect> {
        plan = newer
        slots = slots.filterKeys { newer.slotsOf(it) > 0 }
        if (usesFallback) useFallback()
        return dispatch(nowMillis)
    }

    /** Learns this host's [share] of the pool for times without an owner. */
    public fun setFallback(share: FallbackShare) {
        fallback = share
        if (usesFallback && slots.isNotEmpty()) useFallback()
    }

    /** Says how far reports that can wait must stand apart, so that the control budget holds; in milliseconds. */
    public fun setReportSpacing(millis: Long) {
        spacingMillis = maxOf(settings.minReportMillis, millis)
    }

    /** Forgets that the owner was asked, because another host owns the pool now; the next report goes there at once. */
    public fun ownerChanged(nowMillis: Long): List<HolderEffect> {
        recallNext = true
        unansweredSinceMillis = null
        urgent = true
        return reportIfDue(nowMillis)
    }

    /** Refuses overdue requests, hedges late ones, falls back where the owner is silent, and reports where that is due. */
    public fun tick(nowMillis: Long): List<HolderEffect> {
        val effects = ArrayList<HolderEffect>()
        for (queue in queues.values) {
            queue.takeOverdue(nowMillis).forEach { effects += refuse(it, RefusalReason.DEADLINE_PASSED) }
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
        val order = ServiceOrder(accounts, plan)
        while (hasIdleSlot()) {
            val request = order.next(queues, longAllowed()) { upstreamsFor(it).isNotEmpty() } ?: break
            val upstream = chooseUpstream(nowMillis, request) ?: break
            queues.getValue(request.workspace).remove(request)
            if (queues.getValue(request.workspace).size == 0) queues.remove(request.workspace)
            accounts.start(nowMillis, request, upstream)
            order.charge(request)
            effects += HolderEffect.Dispatch(request, upstream)
            probe(nowMillis, request)?.let { effects += it }
        }
        return effects
    }

    private fun probe(nowMillis: Long, request: PoolRequest): HolderEffect? {
        val upstream = probeSlots.keys.firstOrNull { lateness.shouldProbe(nowMillis, request, it, plan.policy.hedgeBudget) }
        if (upstream == null || idleAt(upstream, probeSlots.getValue(upstream)) <= 0) return null
        lateness.probed(nowMillis, upstream)
        return accounts.runningOf(request.id)?.let { copy(nowMillis, it, upstream) }
    }

    private fun copy(nowMillis: Long, entry: RunningRequest, upstream: UpstreamId): HolderEffect {
        lateness.copied(entry)
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
        request.preferred?.let { if (it in idle && !lateness.isSuspect(nowMillis, it)) return it }
        return idle.minWithOrNull(compareBy({ lateness.isSuspect(nowMillis, it) }, { busyPart(it) }, { it.value }))
    }

    /**
     * Returns the upstreams with an idle slot that may take [request].
     *
     * One that failed the request before is among them only where this host holds no slots elsewhere; a busy slot of another
     * is worth the wait, since the failed one would most likely use up an attempt.
     */
    private fun upstreamsFor(request: PoolRequest): List<UpstreamId> {
        val mayRepeat = request.excluded.containsAll(slots.keys)
        return slots.filter { (upstream, count) -> idleAt(upstream, count) > 0 && (mayRepeat || upstream !in request.excluded) }
            .keys.toList()
    }

    private fun busyPart(upstream: UpstreamId): Double =
        (accounts.upstreams[upstream]?.inUse ?: 0).toDouble() / maxOf(1, plan.slotsOf(upstream))

    private fun hedges(nowMillis: Long): List<HolderEffect> {
        if (queuedCount > 0 || plan.policy.hedgeBudget <= 0.0) return emptyList()
        val late = accounts.runningRequests.filter { lateness.isLate(nowMillis, it, plan.policy.hedgeBudget) }
        late.forEach { lateness.late(nowMillis, it) }
        return late.mapNotNull { entry ->
            val idle = slots.filter { (upstream, count) -> upstream != entry.upstream && idleAt(upstream, count) > 0 }.keys
            val upstream =
                idle.minWithOrNull(compareBy({ lateness.isSuspect(nowMillis, it) }, { busyPart(it) })) ?: return@mapNotNull null
            urgent = true
            copy(nowMillis, entry, upstream)
        }
    }

    private fun reportIfDue(nowMillis: Long): List<HolderEffect> {
        val sinceMillis = nowMillis - reportedAtMillis
        val active = queuedCount > 0 || runningCount > 0
        val due =
            when {
                urgent -> sinceMillis >= spacingMillis
                active -> sinceMillis >= maxOf(settings.activeReportMillis, spacingMillis)
                else -> sinceMillis >= settings.idleReportMillis
            }
        return if (due) report(nowMillis) else emptyList()
    }

    private fun report(nowMillis: Long): List<HolderEffect> {
        accounts.countBusy(nowMillis)
        reportVersion++
        reportedAtMillis = nowMillis
        urgent = false
        if (unansweredSinceMillis == null) unansweredSinceMillis = nowMillis
        val charged = accounts.chargedUnits()
        reported[reportVersion] = charged
        if (reported.size > MAX_REPORTED) reported.remove(reported.keys.first())
        val report =
            DemandReport(
                pool = plan.pool,
                host = self,
                incarnation = incarnation,
                version = reportVersion,
                epoch = allocation?.epoch ?: lastEpoch,
                allocationVersion = allocation?.version ?: 0,
                workspaces = workspaceDemands(nowMillis, charged),
                upstreams = accounts.upstreams.map { (upstream, tally) -> tally.toUse(upstream) },
                includesHistory = recallNext,
            )
        return listOf(HolderEffect.Report(report))
    }

    private fun workspaceDemands(nowMillis: Long, charged: Map<WorkspaceId, Double>): List<WorkspaceDemand> {
        queues.keys.forEach { accounts.accountOf(it) }
        val told = accounts.workspaces.filter { (workspace, account) ->
            recallNext || workspace in queues || account.running > 0 || account.changed
        }
        return told.map { (workspace, account) ->
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
            acknowledgedUnits = if (recallNext) account.acknowledgedUnits else 0.0,
            normalizedUnits = if (recallNext) account.normalizedUnits else 0.0,
            queuedShort = queue?.shortSize ?: 0,
            queuedLong = queue?.longSize ?: 0,
            running = account.running,
            runningLong = account.runningLong,
            oldestWaitMillis = queue?.oldestArrivalMillis()?.let { nowMillis - it } ?: 0,
        )
    }

    private companion object {
        /** Reports whose figures are remembered until the owner answers them. */
        const val MAX_REPORTED = 16
    }
}

private fun Allocation.isOlderThan(other: Allocation): Boolean =
    epoch < other.epoch || (epoch == other.epoch && version < other.version)
