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

/** Brings waiting requests and upstreams together; carries out what placement, fair queue and budgets decide. */
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

    /** Requests that wait. */
    val waitingCount: Int get() = queues.values.sumOf { it.size }

    /** Returns the workspaces of which something has waited here for [millis] or longer. */
    fun workspacesWaitingFor(millis: Long): Set<WorkspaceId> {
        val sinceMillis = clock.nowMillis() - millis
        return queues.values.flatMap { it.workspacesWaitingSince(sinceMillis) }.toSet()
    }

    /** Takes in a request that is to be sent, for the first time or again. */
    fun submit(request: ProxiedRequest) {
        if (upstreams.usable(request.service).isEmpty()) return request.refuse("no upstream of the service may be used")
        val queue = queueOf(request.service)
        if (request.rank != WaitingRank.DUE && queue.sizeOf(request.workspaceId) >= MAX_WAITING_BEYOND_SHARE) {
            return request.refuse("the workspace asks for more than its share and others of its requests wait")
        }
        val waiting =
            QueuedRequest(request.id, request.workspaceId, request.rank, clock.nowMillis(), request.queueUntilMillis(), request)
        request.waiting = waiting
        queue.add(waiting)
        place(request.service)
    }

    /** Takes a request out that waits no longer. */
    fun withdraw(request: ProxiedRequest) {
        val waiting = request.waiting ?: return
        request.waiting = null
        queueOf(request.service).remove(waiting)
    }

    /** Sends what finds room at upstreams of [service]. */
    fun place(service: ServiceId) {
        val queue = queues[service] ?: return
        if (queue.size == 0) return
        queue.placeWhile(clock.nowMillis()) { waiting -> placeOne(waiting.request) }
    }

    /** Sends what finds room anywhere; called when the upstreams changed. */
    fun placeAll() {
        queues.keys.toList().forEach { service ->
            val stranded = if (upstreams.usable(service).isEmpty()) queueOf(service).removeAll() else emptyList()
            stranded.forEach { it.request.refuse("no upstream of the service may be used") }
            place(service)
        }
    }

    /** The allowance of one request for [service] to be sent again. */
    fun allowanceOf(service: ServiceId): RetryAllowance = object : RetryAllowance {
        private val budget = budgets.getOrPut(service) { FleetRetryBudget(settings.ratio, settings.windowMillis, settings.slack) }

        override fun recordRequest() = budget.recordRequest(clock.nowMillis())

        override fun tryRetry(): Boolean = budget.tryRetry(clock.nowMillis(), liveHosts())
    }

    private fun placeOne(request: ProxiedRequest): Boolean {
        val nowMillis = clock.nowMillis()
        val workspace = request.workspaceId
        if (request.rank != WaitingRank.DUE && workspace != null && backlog.shouldYield(nowMillis, workspace)) return false
        val usable = upstreams.usable(request.service)
        val fresh = usable.filterNot { it.entry.id in request.triedUpstreams }.ifEmpty { usable }
        val choice =
            placement.choose(nowMillis, fresh.map { it.candidate }, request.demand, request.isPatient(nowMillis)) ?: return false
        val upstream = fresh.first { it.candidate === choice.upstream }
        request.waiting = null
        request.demand?.let { demand ->
            workspace?.let { accounts.charge(nowMillis, it, demand.workTokens) }
            upstream.candidate.cache?.recordRead(nowMillis, demand)
        }
        val copyFrom = choice.copyFrom?.let { source -> fresh.first { it.candidate === source } }
        request.send(upstream, choice, copyFrom?.entry?.address)
        return true
    }

    private fun queueOf(service: ServiceId) = queues.getOrPut(service) { FairQueue(accounts) }

    private companion object {
        /**
         * Requests beyond its share of one workspace that may wait here at a time; what a workspace gets in the time that a
         * request may wait is few of them.
         */
        const val MAX_WAITING_BEYOND_SHARE = 6
    }
}

/**
 * Bounds on repetitions of all hosts together.
 *
 * @property ratio repetitions for each request of a window.
 * @property windowMillis length of the window, in milliseconds.
 * @property slack repetitions in a window that need no request.
 */
internal data class RetrySettings(val ratio: Double, val windowMillis: Long, val slack: Double)
