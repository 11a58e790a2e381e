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
 * The owner's side of one pool: it divides the pool's slots between the hosts so that workspaces are served by their shares.
 *
 * Its state is soft: a new owner rebuilds it from the hosts' reports.
 */
public class PoolOwner(
    private val self: HostId,
    epoch: Long,
    private var plan: PoolPlan,
    private val startedAtMillis: Long,
    private val settings: OwnerSettings = OwnerSettings(),
) {
    /** Fencing number of this ownership; it rises above any that a host reports. */
    public var epoch: Long = epoch
        private set

    private val ledger = FairLedger()
    private val health = UpstreamHealth(if (plan.streamsProgress) HealthSensitivity.STREAMED else HealthSensitivity.ENDS_ONLY)
    private val views = LinkedHashMap<HostId, HolderView>()
    private val totals = HashMap<WorkspaceId, Double>()
    private val toldTotals = HashMap<WorkspaceId, Double>()
    private val remoteTotals = HashMap<PoolId, RemoteTotals>()
    private var shortSeenAtMillis = Long.MIN_VALUE / 2
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

    /** Whether requests wait or run in the pool. */
    public val isBusy: Boolean get() = views.values.any { it.queued + it.running > 0 }

    /** Takes up a new plan of the pool; upstreams that it no longer names get no new slots. */
    public fun adopt(nowMillis: Long, newer: PoolPlan) {
        plan = newer
        if (!isLearning(nowMillis)) divide(nowMillis)
    }

    /** Takes in a host's [report] and returns its answer; null where a later report came before or the owner still listens. */
    public fun receive(nowMillis: Long, report: DemandReport): Allocation? {
        val view = views.getOrPut(report.host) { HolderView(report.host) }
        if (!view.accepts(report)) return null
        if (report.epoch > epoch) epoch = report.epoch + 1
        val known = view.incarnation == report.incarnation
        if (!known) restart(view, report)
        if (known && view.wantsHistory && report.includesHistory) recall(view, report)
        view.reportVersion = report.version
        view.heardAtMillis = nowMillis
        if (report.epoch == epoch) view.confirm(report.allocationVersion)
        takeDemand(view, report)
        takeUse(nowMillis, view, report, known)
        if (isLearning(nowMillis)) return null
        observeBacklog(nowMillis)
        divide(nowMillis)
        return allocationFor(nowMillis, view)
    }

    /** Whether the owner is so new that hosts which use the pool may not have reported to it yet. */
    private fun isLearning(nowMillis: Long): Boolean = nowMillis - startedAtMillis < settings.learnMillis

    /**
     * Returns the allocations that changed and that their hosts have not been told yet, each host's at least
     * [spacingMillis] milliseconds after its last.
     */
    public fun takeChanged(nowMillis: Long, spacingMillis: Long): List<Allocation> =
        views.values.filter { it.changed && nowMillis - it.sentAtMillis >= spacingMillis }.map { allocationFor(nowMillis, it) }

    /** Forgets [host], which is gone; its slots go to the others. */
    public fun hostGone(nowMillis: Long, host: HostId) {
        views.remove(host) ?: return
        if (!isLearning(nowMillis)) divide(nowMillis)
    }

    /** Forgets silent hosts and judges the upstreams again. */
    public fun tick(nowMillis: Long) {
        val silent = views.values.filter { nowMillis - it.heardAtMillis > settings.validForMillis + settings.silenceMarginMillis }
        silent.forEach { views.remove(it.host) }
        val periodMillis = if (isBusy) settings.divideMillis else settings.calmDivideMillis
        if (isLearning(nowMillis)) return
        if (silent.isEmpty() && nowMillis - dividedAtMillis < periodMillis) return
        observeBacklog(nowMillis)
        divide(nowMillis)
    }

    /**
     * Returns what this pool served so far, for the owners of the other pools: the workspaces whose figure changed since the
     * last.
     */
    public fun serviceTotals(): ServiceTotals {
        totalsVersion++
        val changed = totals.filter { (workspace, units) -> units != toldTotals[workspace] }
        toldTotals.putAll(changed)
        val entries = changed.map { (workspace, units) -> WorkspaceTotal(workspace, rounded(units)) }
        return ServiceTotals(plan.pool, self, startedAtMillis, totalsVersion, entries)
    }

    /** Counts what another pool served, so that shares hold across the fleet. */
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

    private fun restart(view: HolderView, report: DemandReport) {
        view.incarnation = report.incarnation
        view.demand.clear()
        view.use.clear()
        view.servedUnits.clear()
        view.wantsHistory = !report.includesHistory && report.version > 1
        for (demand in report.workspaces) view.servedUnits[demand.workspace] = knownUnits(report, demand)
        if (report.includesHistory) recall(view, report)
    }

    /**
     * Returns what was already counted of a host that this owner did not know: all of it, unless the host says or just started.
     */
    private fun knownUnits(report: DemandReport, demand: WorkspaceDemand): Double = when {
        report.includesHistory -> demand.acknowledgedUnits
        report.version > 1 -> demand.servedUnits
        else -> 0.0
    }

    private fun recall(view: HolderView, report: DemandReport) {
        view.wantsHistory = false
        report.workspaces.forEach { ledger.recall(it.workspace, it.normalizedUnits) }
    }

    private fun takeDemand(view: HolderView, report: DemandReport) {
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

    private fun takeUse(nowMillis: Long, view: HolderView, report: DemandReport, known: Boolean) {
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
                if (demand.queuedShort + demand.running - demand.runningLong > 0) shortSeenAtMillis = nowMillis
            }
        }
        ledger.observe(nowMillis, active, backlogged)
    }

    private fun divide(nowMillis: Long) {
        dividedAtMillis = nowMillis
        health.evaluate(nowMillis, plan.upstreams.map { it.id })
        val capacity = plan.upstreams.associate { it.id to maxOf(1, (it.slots * health.weightOf(it.id)).toInt()) }
        val total = capacity.values.sum()
        val shortComes = nowMillis - shortSeenAtMillis < settings.shortMemoryMillis
        val division = SlotDivision(plan, ledger, rate.unitsPerSlot(settings.horizonMillis), plan.policy.longShare)
        val shares = division.divide(views.values, total, shortComes)
        views.values.forEach { setLongSlots(it, if (shortComes) shares.getValue(it.host).longSlots else Int.MAX_VALUE) }
        val mayRebalance = nowMillis - rebalancedAtMillis >= settings.rebalanceMillis
        if (mayRebalance) rebalancedAtMillis = nowMillis
        SlotMoves(capacity, views.values, shares.mapValues { it.value.slots }).run(mayRebalance)
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
            version = view.send(),
            validForMillis = settings.validForMillis,
            contended = views.values.any { it.queued > 0 },
            longSlots = view.longSlots,
            slots = view.allocated.map { (upstream, count) -> SlotGrant(upstream, count, health.isSlow(upstream)) },
            order = view.demand.keys.map { WorkspaceOrder(it, rounded(ledger.normalizedOf(it))) },
            reportVersion = view.reportVersion,
            wantsHistory = view.wantsHistory,
        )
    }
}

/**
 * Times of a [PoolOwner].
 *
 * @property validForMillis how long an allocation holds without a new one, in milliseconds.
 * @property silenceMarginMillis how much longer a silent host's slots stay reserved, in milliseconds.
 * @property learnMillis how long a new owner listens before it promises anything, in milliseconds.
 * @property divideMillis longest time between two divisions while work is done, in milliseconds.
 * @property calmDivideMillis longest time between two divisions otherwise, in milliseconds.
 * @property horizonMillis time in which a workspace that is behind is meant to catch up, in milliseconds.
 * @property rebalanceMillis time between two moves of slots that are in use, in milliseconds.
 * @property shortMemoryMillis how long after short work was last seen its slots stay closed to long work, in milliseconds.
 */
public data class OwnerSettings(
    public val validForMillis: Long = 5_000,
    public val silenceMarginMillis: Long = 1_000,
    public val learnMillis: Long = 250,
    public val divideMillis: Long = 100,
    public val calmDivideMillis: Long = 1_000,
    public val horizonMillis: Long = 3_000,
    public val rebalanceMillis: Long = 250,
    public val shortMemoryMillis: Long = 5_000,
)
