package buckthornbay.core.pool

import buckthornbay.protocol.Allocation
import buckthornbay.protocol.DemandReport
import buckthornbay.protocol.HostId
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.ServiceTotals
import buckthornbay.protocol.SlotGrant
import buckthornbay.protocol.WorkspaceDemand
import buckthornbay.protocol.WorkspaceId
import buckthornbay.protocol.WorkspaceOrder
import buckthornbay.protocol.WorkspaceTotal

/**
 * The owner of one pool, which divides the pool's slots between the hosts so that workspaces are served in proportion to their
 * shares.
 *
 * It keeps only soft state, which a new owner rebuilds from the hosts' reports.
 */
public class PoolOwner(
    private val self: HostId,
    epoch: Long,
    private var plan: PoolPlan,
    private val startedAtMillis: Long,
    private val settings: OwnerSettings = OwnerSettings(),
) {
    /** Fencing epoch of this owner; it is raised above any higher epoch that a host reports. */
    public var epoch: Long = epoch
        private set

    private val ledger = FairLedger()
    private val health = UpstreamHealth(if (plan.streamsProgress) HealthSensitivity.STREAMED else HealthSensitivity.ENDS_ONLY)
    private val views = LinkedHashMap<HostId, HolderView>()
    private val totals = HashMap<WorkspaceId, Double>()
    private val sentTotals = HashMap<WorkspaceId, Double>()
    private val remoteTotals = HashMap<PoolId, RemoteTotals>()
    private var shortWorkSeenAtMillis = Long.MIN_VALUE / 2
    private var dividedAtMillis = Long.MIN_VALUE / 2
    private var rebalancedAtMillis = Long.MIN_VALUE / 2
    private var totalsVersion = 0L
    private val rate = ServiceRate()

    private class RemoteTotals(
        val owner: HostId,
        val incarnation: Long,
        val version: Long,
        val servedUnits: Map<WorkspaceId, Double>,
    )

    /** Whether any host has queued or running requests in the pool. */
    public val isBusy: Boolean get() = views.values.any { it.queued + it.running > 0 }

    /** Replaces the plan with [newer] and withdraws the slots at upstreams that it no longer lists. */
    public fun applyPlan(nowMillis: Long, newer: PoolPlan) {
        plan = newer
        if (!isCollectingReports(nowMillis)) divide(nowMillis)
    }

    /** Processes a host's [report] and returns its allocation; null if the report is outdated or reports are still collected. */
    public fun receive(nowMillis: Long, report: DemandReport): Allocation? {
        val view = views.getOrPut(report.host) { HolderView(report.host) }
        if (!view.isNewer(report)) return null
        if (report.epoch > epoch) epoch = report.epoch + 1
        val known = view.incarnation == report.incarnation
        if (!known) resetView(view, report)
        if (known && view.wantsHistory && report.includesHistory) restoreNormalizedUnits(view, report)
        view.reportVersion = report.version
        view.lastReportAtMillis = nowMillis
        if (report.epoch == epoch) view.recordConfirmation(report.allocationVersion)
        applyDemand(view, report)
        applyUpstreamUse(nowMillis, view, report, known)
        if (isCollectingReports(nowMillis)) return null
        observeBacklog(nowMillis)
        divide(nowMillis)
        return allocationFor(nowMillis, view)
    }

    /** Returns whether the owner is so new that some hosts using the pool may not have reported to it yet. */
    private fun isCollectingReports(nowMillis: Long): Boolean = nowMillis - startedAtMillis < settings.reportCollectionMillis

    /**
     * Returns the changed allocations that were not sent yet, and marks them as sent.
     *
     * A host's allocation is held back until [spacingMillis] milliseconds after the last one that was sent to it.
     */
    public fun takePendingAllocations(nowMillis: Long, spacingMillis: Long): List<Allocation> =
        views.values.filter { it.changed && nowMillis - it.sentAtMillis >= spacingMillis }.map { allocationFor(nowMillis, it) }

    /** Removes [host], which left the fleet, and divides its slots between the others. */
    public fun removeHost(nowMillis: Long, host: HostId) {
        views.remove(host) ?: return
        if (!isCollectingReports(nowMillis)) divide(nowMillis)
    }

    /** Removes silent hosts, and divides the slots and evaluates the health of the upstreams when the interval has passed. */
    public fun tick(nowMillis: Long) {
        val silent = views.values.filter { nowMillis - it.lastReportAtMillis > settings.validForMillis + settings.graceMillis }
        silent.forEach { views.remove(it.host) }
        val periodMillis = if (isBusy) settings.divideMillis else settings.idleDivideMillis
        if (isCollectingReports(nowMillis)) return
        if (silent.isEmpty() && nowMillis - dividedAtMillis < periodMillis) return
        observeBacklog(nowMillis)
        divide(nowMillis)
    }

    /**
     * Returns the cumulative service of this pool for the owners of the other pools, limited to the workspaces whose figure
     * changed since the last call.
     */
    public fun serviceTotals(): ServiceTotals {
        totalsVersion++
        val changed = totals.filter { (workspace, units) -> units != sentTotals[workspace] }
        sentTotals.putAll(changed)
        val entries = changed.map { (workspace, units) -> WorkspaceTotal(workspace, rounded(units)) }
        return ServiceTotals(plan.pool, self, startedAtMillis, totalsVersion, entries)
    }

    /** Adds the service given by another pool, so that shares apply across the fleet. */
    public fun receiveTotals(message: ServiceTotals) {
        val known = remoteTotals[message.pool]?.takeIf { it.owner == message.owner && it.incarnation == message.incarnation }
        if (known != null && message.version <= known.version) return
        val before = known?.servedUnits.orEmpty()
        val served = message.totals.associate { it.workspace to it.servedUnits }
        if (known != null || message.version == 1L) {
            served.forEach { (workspace, units) ->
                ledger.add(workspace, units - (before[workspace] ?: 0.0), plan.shareOf(workspace))
            }
        }
        remoteTotals[message.pool] = RemoteTotals(message.owner, message.incarnation, message.version, before + served)
    }

    private fun resetView(view: HolderView, report: DemandReport) {
        view.incarnation = report.incarnation
        view.demand.clear()
        view.use.clear()
        view.servedUnits.clear()
        view.wantsHistory = !report.includesHistory && report.version > 1
        for (demand in report.workspaces) view.servedUnits[demand.workspace] = baselineUnits(report, demand)
        if (report.includesHistory) restoreNormalizedUnits(view, report)
    }

    /**
     * Returns the part of a newly seen host's service that the ledger already contains: the acknowledged service if the report
     * contains it, nothing if the host has just started, else everything.
     */
    private fun baselineUnits(report: DemandReport, demand: WorkspaceDemand): Double = when {
        report.includesHistory -> demand.acknowledgedUnits
        report.version > 1 -> demand.servedUnits
        else -> 0.0
    }

    private fun restoreNormalizedUnits(view: HolderView, report: DemandReport) {
        view.wantsHistory = false
        report.workspaces.forEach { ledger.raiseTo(it.workspace, it.normalizedUnits) }
    }

    private fun applyDemand(view: HolderView, report: DemandReport) {
        val mentioned = report.workspaces.mapTo(HashSet()) { it.workspace }
        view.demand.keys.removeAll { it !in mentioned }
        for (demand in report.workspaces) {
            view.demand[demand.workspace] = demand
            val delta = demand.servedUnits - (view.servedUnits[demand.workspace] ?: 0.0)
            view.servedUnits[demand.workspace] = demand.servedUnits
            ledger.add(demand.workspace, delta, plan.shareOf(demand.workspace))
            totals.merge(demand.workspace, delta, Double::plus)
        }
    }

    private fun applyUpstreamUse(nowMillis: Long, view: HolderView, report: DemandReport, known: Boolean) {
        for (use in report.upstreams) {
            val before = view.use[use.upstream]
            view.use[use.upstream] = HolderView.Usage(use.inUse, use.longInUse, use.busyMillis, use.progressUnits)
            if (!known && before == null && report.version > 1) continue
            val busyMillis = use.busyMillis - (before?.busyMillis ?: 0)
            val progressUnits = use.progressUnits - (before?.progressUnits ?: 0.0)
            health.observe(nowMillis, use.upstream, busyMillis, progressUnits)
            rate.observe(busyMillis, progressUnits)
        }
    }

    private fun observeBacklog(nowMillis: Long) {
        val active = HashSet<WorkspaceId>()
        val backlogged = HashSet<WorkspaceId>()
        for (view in views.values) {
            for ((workspace, demand) in view.demand) {
                val queued = demand.queuedShort + demand.queuedLong
                if (queued + demand.running > 0) active += workspace
                if (queued > 0) backlogged += workspace
                if (demand.queuedShort + demand.running - demand.runningLong > 0) shortWorkSeenAtMillis = nowMillis
            }
        }
        ledger.observe(nowMillis, active, backlogged)
    }

    private fun divide(nowMillis: Long) {
        dividedAtMillis = nowMillis
        health.evaluate(nowMillis, plan.upstreams.map { it.id })
        val capacity = plan.upstreams.associate { it.id to maxOf(1, (it.slots * health.weightOf(it.id)).toInt()) }
        val total = capacity.values.sum()
        val shortWorkActive = nowMillis - shortWorkSeenAtMillis < settings.shortWorkTimeoutMillis
        val division = SlotDivision(plan, ledger, rate.unitsPerSlot(settings.catchUpMillis), plan.policy.longShare)
        val shares = division.divide(views.values, total, shortWorkActive)
        views.values.forEach { setLongSlots(it, if (shortWorkActive) shares.getValue(it.host).longSlots else Int.MAX_VALUE) }
        val mayRebalance = nowMillis - rebalancedAtMillis >= settings.rebalanceMillis
        if (mayRebalance) rebalancedAtMillis = nowMillis
        SlotRebalancer(capacity, views.values, shares.mapValues { it.value.slots }).run(mayRebalance)
    }

    private fun setLongSlots(view: HolderView, longSlots: Int) {
        if (longSlots < view.longSlots) view.changed = true
        view.longSlots = longSlots
    }

    private fun allocationFor(nowMillis: Long, view: HolderView): Allocation {
        view.sentAtMillis = nowMillis
        return Allocation(
            pool = plan.pool,
            host = view.host,
            owner = self,
            epoch = epoch,
            version = view.recordSend(),
            validForMillis = settings.validForMillis,
            contended = views.values.any { it.queued > 0 },
            longSlots = view.longSlots,
            slots = view.allocated.map { (upstream, count) -> SlotGrant(upstream, count, health.isSlow(upstream)) },
            order = view.demand.keys.map { WorkspaceOrder(it, rounded(ledger.normalizedUnitsOf(it))) },
            reportVersion = view.reportVersion,
            wantsHistory = view.wantsHistory,
        )
    }
}

/**
 * Intervals of a [PoolOwner].
 *
 * @property validForMillis validity of an allocation, in milliseconds.
 * @property graceMillis additional time for which the slots of a silent host stay reserved, in milliseconds.
 * @property reportCollectionMillis time for which a new owner only collects reports before it allocates slots, in milliseconds.
 * @property divideMillis maximum interval between slot divisions while requests are queued or running, in milliseconds.
 * @property idleDivideMillis maximum interval between slot divisions otherwise, in milliseconds.
 * @property catchUpMillis time in which a workspace below its share should catch up, in milliseconds.
 * @property rebalanceMillis interval between reassignments of slots that are in use, in milliseconds.
 * @property shortWorkTimeoutMillis time after the last short request for which long requests stay limited, in milliseconds.
 */
public data class OwnerSettings(
    public val validForMillis: Long = 5_000,
    public val graceMillis: Long = 1_000,
    public val reportCollectionMillis: Long = 250,
    public val divideMillis: Long = 100,
    public val idleDivideMillis: Long = 1_000,
    public val catchUpMillis: Long = 3_000,
    public val rebalanceMillis: Long = 250,
    public val shortWorkTimeoutMillis: Long = 5_000,
)
