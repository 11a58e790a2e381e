package buckthornbay.testkit.virtual

import buckthornbay.protocol.PoolId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId

/** Baseline without coordination: each host sends every request immediately to the next upstream, round robin. */
public class RoundRobinScheduling : Scheduling {
    override val name: String = "alone, round robin"
    private lateinit var run: VirtualRun
    private val turns = HashMap<Int, Int>()

    override fun attach(run: VirtualRun) {
        this.run = run
    }

    override fun arrive(request: VirtualRequest) {
        val pool = run.state.upstreams.filter { it.pool == request.flow.spec.pool }
        val turn = turns.merge(request.hostNumber, 1, Int::plus) ?: 0
        run.send(request, request.id, pool[turn % pool.size].id)
    }

    override fun progress(request: VirtualRequest, attemptId: String, servedUnits: Double): Unit = Unit

    override fun ended(request: VirtualRequest, attemptId: String, upstream: UpstreamId, servedUnits: Double): Unit = Unit

    override fun waitingCount(pool: PoolId): Int = 0
}

/**
 * Baseline with weighted fair queueing: the backlogged workspace with the least normalized service is served first.
 *
 * If [central] is set, one scheduler serves the whole fleet, knows the cost of each request in advance and avoids slowed
 * upstreams; this is the ideal that the routers are compared with. Otherwise each host has its own queues and an equal part of
 * the slots of each upstream.
 */
public class FairQueueScheduling(private val central: Boolean) : Scheduling {
    override val name: String = if (central) "central, knows all" else "alone, fair queues"
    private lateinit var run: VirtualRun
    private val queues = HashMap<QueueKey, ArrayDeque<VirtualRequest>>()
    private val inUse = HashMap<SlotKey, Int>()
    private val normalizedUnits = HashMap<ServiceKey, Double>()

    private data class QueueKey(val host: Int, val workspace: WorkspaceId, val flow: String)

    private data class SlotKey(val host: Int, val upstream: UpstreamId)

    private data class ServiceKey(val host: Int, val workspace: WorkspaceId)

    override fun attach(run: VirtualRun) {
        this.run = run
    }

    override fun arrive(request: VirtualRequest) {
        val host = hostOf(request)
        val spec = request.flow.spec
        queues.getOrPut(QueueKey(host, spec.workspace, spec.name)) { ArrayDeque() }.addLast(request)
        raiseToMinimum(host, spec.workspace)
        dispatch(host)
    }

    override fun progress(request: VirtualRequest, attemptId: String, servedUnits: Double): Unit = Unit

    override fun ended(request: VirtualRequest, attemptId: String, upstream: UpstreamId, servedUnits: Double) {
        val host = hostOf(request)
        inUse.merge(SlotKey(host, upstream), -1, Int::plus)
        if (!central) charge(host, request)
        dispatch(host)
    }

    override fun waitingCount(pool: PoolId): Int = queues.values.filter {
        it.firstOrNull()?.flow?.spec?.pool == pool
    }.sumOf { it.size }

    private fun dispatch(host: Int) {
        refuseExpired()
        while (true) {
            val waiting = queues.filter { (key, queue) -> key.host == host && queue.isNotEmpty() }
            val ordered = waiting.entries.sortedWith(
                compareBy({ (key, _) ->
                    normalizedUnits[ServiceKey(host, key.workspace)] ?: 0.0
                }, { it.value.first().flow.spec.long }),
            )
            val choice =
                ordered.firstNotNullOfOrNull { (_, queue) -> upstreamFor(host, queue.first())?.let { Choice(queue, it) } }
                    ?: return
            val request = choice.queue.removeFirst()
            inUse.merge(SlotKey(host, choice.upstream), 1, Int::plus)
            if (central) charge(host, request)
            run.send(request, request.id, choice.upstream)
        }
    }

    private fun refuseExpired() {
        for (queue in queues.values) {
            val expired = queue.filter { it.arrivedAtMillis + it.flow.spec.deadlineMillis < run.time.nowMillis }
            queue.removeAll(expired)
            expired.forEach(run::refuse)
        }
    }

    private class Choice(val queue: ArrayDeque<VirtualRequest>, val upstream: UpstreamId)

    private fun upstreamFor(host: Int, request: VirtualRequest): UpstreamId? {
        val pool = run.state.upstreams.filter { it.pool == request.flow.spec.pool }
        val hosts = if (central) 1 else run.hostsPerRegion
        val free = pool.associate { it.id to maxOf(1, it.slots / hosts) - (inUse[SlotKey(host, it.id)] ?: 0) }
        val healthy = if (central) {
            free.filterKeys {
                run.upstreams.getValue(it).slowFactor <= 1.0
            }.filterValues { it > 0 }
        } else {
            emptyMap()
        }
        return healthy.ifEmpty { free }.filterValues { it > 0 }.maxByOrNull { it.value }?.key
    }

    private fun charge(host: Int, request: VirtualRequest) {
        val spec = request.flow.spec
        val share = run.state.workspaces.first { it.id == spec.workspace }.share
        normalizedUnits.merge(ServiceKey(host, spec.workspace), request.units / share, Double::plus)
    }

    /**
     * Raises the normalized service of a newly backlogged [workspace] to the minimum of the others, so that idle time earns no
     * credit.
     */
    private fun raiseToMinimum(host: Int, workspace: WorkspaceId) {
        val waiting = queues.filter { (key, queue) -> key.host == host && queue.isNotEmpty() && key.workspace != workspace }.keys
        val floor = waiting.minOfOrNull { normalizedUnits[ServiceKey(host, it.workspace)] ?: 0.0 } ?: return
        normalizedUnits.merge(ServiceKey(host, workspace), floor) { old, new ->
            if (isBacklogged(host, workspace)) old else maxOf(old, new)
        }
    }

    private fun isBacklogged(host: Int, workspace: WorkspaceId): Boolean =
        queues.filter { (key, _) -> key.host == host && key.workspace == workspace }.values.sumOf { it.size } > 1

    private fun hostOf(request: VirtualRequest): Int = if (central) 0 else request.hostNumber
}
