package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.FairQueue
import buckthornbay.core.admission.FleetAccounts
import buckthornbay.core.admission.FleetBacklog
import buckthornbay.core.admission.QueuedRequest
import buckthornbay.core.admission.WaitingRank
import buckthornbay.core.load.Placement
import buckthornbay.core.request.FleetRetryBudget
import buckthornbay.core.request.RetryAllowance
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId

/** The request queues by service, which send to upstreams according to placement, fair queueing and retry budgets. */
internal class Dispatcher(
    private val upstreams: UpstreamTable,
    private val accounts: FleetAccounts,
    private val backlog: FleetBacklog,
    private val placement: Placement,
    private val settings: RetrySettings,
    private val clock: Clock,
    private val liveHosts: () -> Int,
) {
    private val queues = HashMap<ServiceId, FairQueue<ProxiedRequest>>()
    private val budgets = HashMap<ServiceId, FleetRetryBudget>()

    /** Number of queued requests of all services. */
    val waitingCount: Int get() = queues.values.sumOf { it.size }

    /** Returns the workspaces that have a request queued at this host for at least [millis] milliseconds. */
    fun workspacesWaitingFor(millis: Long): Set<WorkspaceId> {
        val sinceMillis = clock.nowMillis() - millis
        return queues.values.flatMap { it.workspacesWaitingSince(sinceMillis) }.toSet()
    }

    /** Queues [request] for its first or a further attempt and sends it if an upstream has room; may refuse it at once. */
    fun submit(request: ProxiedRequest) {
        if (upstreams.usable(request.service).isEmpty()) return request.refuse("no upstream of the service may be used")
        val queue = queueFor(request.service)
        if (request.rank != WaitingRank.DUE && queue.sizeOf(request.workspaceId) >= MAX_WAITING_BEYOND_SHARE) {
            return request.refuse("the workspace asks for more than its share and others of its requests wait")
        }
        val waiting =
            QueuedRequest(request.id, request.workspaceId, request.rank, clock.nowMillis(), request.queueUntilMillis(), request)
        request.queueEntry = waiting
        queue.add(waiting)
        place(request.service)
    }

    /** Removes [request] from its queue, if it is queued. */
    fun withdraw(request: ProxiedRequest) {
        val waiting = request.queueEntry ?: return
        request.queueEntry = null
        queueFor(request.service).remove(waiting)
    }

    /** Sends the queued requests for which an upstream of [service] has room. */
    fun place(service: ServiceId) {
        val queue = queues[service] ?: return
        if (queue.size == 0) return
        queue.placeWhile(clock.nowMillis()) { waiting -> placeOne(waiting.request) }
    }

    /**
     * Sends queued requests of all services after a change of the upstreams, and refuses those whose service has no usable
     * upstream left.
     */
    fun placeAll() {
        queues.keys.toList().forEach { service ->
            val unservable = if (upstreams.usable(service).isEmpty()) queueFor(service).removeAll() else emptyList()
            unservable.forEach { it.request.refuse("no upstream of the service may be used") }
            place(service)
        }
    }

    /** Returns the retry allowance of one request for [service], which draws on the budget that the fleet shares. */
    fun retryAllowanceFor(service: ServiceId): RetryAllowance = object : RetryAllowance {
        private val budget = budgets.getOrPut(service) { FleetRetryBudget(settings.ratio, settings.windowMillis, settings.slack) }

        override fun recordRequest() = budget.recordRequest(clock.nowMillis())

        override fun tryRetry(): Boolean = budget.tryRetry(clock.nowMillis(), liveHosts())
    }

    private fun placeOne(request: ProxiedRequest): Boolean {
        val nowMillis = clock.nowMillis()
        val workspace = request.workspaceId
        if (request.rank != WaitingRank.DUE && workspace != null && backlog.shouldYield(nowMillis, workspace)) return false
        val usable = upstreams.usable(request.service)
        val preferred = usable.filterNot { it.entry.id in request.triedUpstreams }.ifEmpty { usable }
        val choice =
            placement.choose(
                nowMillis,
                preferred.map { it.candidate },
                request.demand,
                request.mayWaitForBestUpstream(nowMillis),
            ) ?: return false
        val upstream = preferred.first { it.candidate === choice.upstream }
        request.queueEntry = null
        request.demand?.let { demand ->
            workspace?.let { accounts.charge(nowMillis, it, demand.workTokens) }
            upstream.candidate.cache?.recordPrefill(nowMillis, demand)
        }
        val copyFrom = choice.copyFrom?.let { source -> preferred.first { it.candidate === source } }
        request.send(upstream, choice, copyFrom?.entry?.address)
        return true
    }

    private fun queueFor(service: ServiceId) = queues.getOrPut(service) { FairQueue(accounts) }

    private companion object {
        /**
         * Maximum number of queued requests of a workspace that exceeds its share. Only a few of them can be served within the
         * maximum queueing time.
         */
        const val MAX_WAITING_BEYOND_SHARE = 6
    }
}

/**
 * Limits on the number of retries of all hosts together.
 *
 * @property ratio retries per request of the window.
 * @property windowMillis length of the window, in milliseconds.
 * @property slack retries per window that are allowed regardless of the number of requests.
 */
internal data class RetrySettings(val ratio: Double, val windowMillis: Long, val slack: Double)
