package buckthornbay.core.pool

import buckthornbay.protocol.RequestId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.UpstreamUse
import buckthornbay.protocol.WorkspaceId

/** A request running at an upstream. */
internal class RunningRequest(
    val request: PoolRequest,
    val upstream: UpstreamId,
    val estimateUnits: Double,
    val startedAtMillis: Long,
) {
    var progressUnits = 0.0
    var busyCountedToMillis = startedAtMillis
    var responseStarted = false
    var hedged = false

    /** Cost charged to the workspace so far: the estimate until the progress exceeds it. */
    val chargedUnits: Double get() = maxOf(estimateUnits, progressUnits)
}

/** Outcome of one attempt at an upstream. */
public enum class AttemptOutcome {
    /** The complete response arrived. */
    COMPLETED,

    /** The upstream rejected the request, closed the connection early or stopped responding. */
    FAILED,

    /** The host cancelled the attempt because the caller disconnected or another attempt won. */
    CANCELLED,
}

/** The service that one host gave one workspace in one pool, in cost units, and the workspace's running requests. */
internal class WorkspaceAccount {
    var settledUnits = 0.0
    var acknowledgedUnits = 0.0
    var normalizedUnits = 0.0
    var running = 0
    var runningLong = 0
    var changed = true
}

/** The usage of one upstream by one host; busy time, progress and failures are cumulative. */
internal class UpstreamTally {
    var inUse = 0
    var longInUse = 0
    var busyMillis = 0L
    var progressUnits = 0.0
    var failures = 0L

    fun toUpstreamUse(upstream: UpstreamId) =
        UpstreamUse(upstream, inUse, longInUse, busyMillis, rounded(progressUnits), failures)
}

/** The running requests of one host in one pool, with the charges to workspaces and the usage of upstreams. */
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

    /** Removes the running request [id], settles its cost at [units] cost units and returns it; null if it is not running. */
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

    /** Returns the charge of each workspace so far in cost units, including running requests. */
    fun chargedUnits(): Map<WorkspaceId, Double> {
        val charged = HashMap<WorkspaceId, Double>()
        workspaces.forEach { (workspace, account) -> charged[workspace] = account.settledUnits }
        running.values.forEach { charged.merge(it.request.workspace, it.chargedUnits, Double::plus) }
        return charged.mapValues { rounded(it.value) }
    }
}
