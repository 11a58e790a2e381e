package buckthornbay.core.pool

import buckthornbay.protocol.RequestId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.UpstreamUse
import buckthornbay.protocol.WorkspaceId

/** One request that runs at an upstream. */
internal class RunningRequest(
    val request: PoolRequest,
    val upstream: UpstreamId,
    val estimateUnits: Double,
    val startedAtMillis: Long,
) {
    var progressUnits = 0.0
    var busyCountedToMillis = startedAtMillis
    var answering = false
    var hedged = false

    /** What the workspace is charged so far: the estimate until the request outruns it. */
    val chargedUnits: Double get() = maxOf(estimateUnits, progressUnits)
}

/** How one attempt at an upstream ended. */
public enum class AttemptOutcome {
    /** The whole answer arrived. */
    COMPLETED,

    /** The upstream refused it, broke off or fell silent. */
    FAILED,

    /** The host cancelled it, because the caller left or another attempt won. */
    CANCELLED,
}

/** What one workspace was served by one host in one pool, in cost units. */
internal class WorkspaceAccount {
    var settledUnits = 0.0
    var acknowledgedUnits = 0.0
    var normalizedUnits = 0.0
    var running = 0
    var runningLong = 0
    var changed = true
}

/** What one host saw of one upstream, as cumulative figures. */
internal class UpstreamTally {
    var inUse = 0
    var longInUse = 0
    var busyMillis = 0L
    var progressUnits = 0.0
    var failures = 0L

    fun toUse(upstream: UpstreamId) = UpstreamUse(upstream, inUse, longInUse, busyMillis, rounded(progressUnits), failures)
}

/** The running requests of one host in one pool, with what they are charged and what they show of the upstreams. */
internal class HolderAccounts(private val streamsProgress: Boolean) {
    val estimator = CostEstimator()
    val workspaces = HashMap<WorkspaceId, WorkspaceAccount>()
    val upstreams = HashMap<UpstreamId, UpstreamTally>()
    private val running = LinkedHashMap<RequestId, RunningRequest>()

    val runningCount: Int get() = running.size
    val runningRequests: Collection<RunningRequest> get() = running.values

    fun accountOf(workspace: WorkspaceId) = workspaces.getOrPut(workspace) { WorkspaceAccount() }

    fun tallyOf(upstream: UpstreamId) = upstreams.getOrPut(upstream) { UpstreamTally() }

    fun runningOf(id: RequestId): RunningRequest? = running[id]

    fun start(nowMillis: Long, request: PoolRequest, upstream: UpstreamId) {
        running[request.id] = RunningRequest(request, upstream, estimator.estimateUnits(request), nowMillis)
        val account = accountOf(request.workspace)
        account.running++
        if (request.long) account.runningLong++
        account.changed = true
        val tally = tallyOf(upstream)
        tally.inUse++
        if (request.long) tally.longInUse++
    }

    fun progress(id: RequestId, units: Double) {
        val entry = running[id] ?: return
        val delta = units - entry.progressUnits
        entry.progressUnits = units
        if (streamsProgress) tallyOf(entry.upstream).progressUnits += delta
        accountOf(entry.request.workspace).changed = true
    }

    /** Settles the request [id] at [units] cost units and returns it; null where it does not run. */
    fun end(nowMillis: Long, id: RequestId, units: Double, outcome: AttemptOutcome): RunningRequest? {
        progress(id, units)
        val entry = running.remove(id) ?: return null
        countBusy(nowMillis, entry)
        val account = accountOf(entry.request.workspace)
        account.running--
        if (entry.request.long) account.runningLong--
        account.settledUnits += units
        account.changed = true
        val tally = tallyOf(entry.upstream)
        tally.inUse--
        if (entry.request.long) tally.longInUse--
        when (outcome) {
            AttemptOutcome.FAILED -> tally.failures++
            AttemptOutcome.CANCELLED -> Unit
            AttemptOutcome.COMPLETED -> {
                if (!streamsProgress) tally.progressUnits += entry.estimateUnits
                estimator.observe(entry.request, units)
            }
        }
        return entry
    }

    fun countBusy(nowMillis: Long) = running.values.forEach { countBusy(nowMillis, it) }

    private fun countBusy(nowMillis: Long, entry: RunningRequest) {
        tallyOf(entry.upstream).busyMillis += nowMillis - entry.busyCountedToMillis
        entry.busyCountedToMillis = nowMillis
    }

    /** Returns what each workspace is charged so far, running requests included, in cost units. */
    fun chargedUnits(): Map<WorkspaceId, Double> {
        val charged = HashMap<WorkspaceId, Double>()
        workspaces.forEach { (workspace, account) -> charged[workspace] = account.settledUnits }
        running.values.forEach { charged.merge(it.request.workspace, it.chargedUnits, Double::plus) }
        return charged.mapValues { rounded(it.value) }
    }
}
