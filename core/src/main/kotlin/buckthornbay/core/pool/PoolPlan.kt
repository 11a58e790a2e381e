package buckthornbay.core.pool

import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.FleetPolicy
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.Service
import buckthornbay.protocol.ServiceKind
import buckthornbay.protocol.Upstream
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId

/**
 * What the desired state says about one pool.
 *
 * @property upstreams the pool's upstreams that may get new work.
 * @property shares each workspace's share, without unit.
 * @property queueLimits how many requests of each workspace one host queues.
 */
public data class PoolPlan(
    public val pool: PoolId,
    public val service: Service,
    public val upstreams: List<Upstream>,
    public val shares: Map<WorkspaceId, Double>,
    public val policy: FleetPolicy,
    public val queueLimits: Map<WorkspaceId, Int> = emptyMap(),
) {
    private val slotsByUpstream: Map<UpstreamId, Int> = upstreams.associate { it.id to it.slots }

    /** Whether progress can be seen while a request runs; plain services show it only at the end. */
    public val streamsProgress: Boolean get() = service.kind == ServiceKind.MODEL

    /** The upstreams' slots together. */
    public val totalSlots: Int = upstreams.sumOf { it.slots }

    /** Returns the share of [workspace]; one that the desired state no longer names counts as 1. */
    public fun shareOf(workspace: WorkspaceId): Double = shares[workspace] ?: 1.0

    /** Returns how many requests of [workspace] one host queues; [default] for one that the desired state no longer names. */
    public fun queueLimitOf(workspace: WorkspaceId, default: Int): Int = queueLimits[workspace] ?: default

    /** Returns the slots of [upstream], 0 where it must get no new work. */
    public fun slotsOf(upstream: UpstreamId): Int = slotsByUpstream[upstream] ?: 0
}

/**
 * Derives the plan of every pool from [state]; [leaving] names upstreams that the host list or their own word says are leaving.
 */
public fun poolPlans(state: DesiredState, leaving: Set<UpstreamId> = emptySet()): Map<PoolId, PoolPlan> {
    val services = state.services.associateBy { it.id }
    val shares = state.workspaces.associate { it.id to it.share }
    val queueLimits = state.workspaces.associate { it.id to it.maxQueuedRequests }
    return state.upstreams.groupBy { it.pool }.mapValues { (pool, upstreams) ->
        val usable = upstreams.filterNot { it.leaving || it.id in leaving }
        PoolPlan(pool, services.getValue(pool.service), usable, shares, state.policy, queueLimits)
    }
}
