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
 * The configuration of one pool, derived from the desired state.
 *
 * @property upstreams the pool's upstreams that accept new requests.
 * @property shares relative share of each workspace.
 * @property queueLimits maximum number of requests of each workspace that one host queues.
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

    /** Whether progress is visible while a request runs; plain services show it only at the end. */
    public val streamsProgress: Boolean get() = service.kind == ServiceKind.MODEL

    /** Total number of slots of all upstreams. */
    public val totalSlots: Int = upstreams.sumOf { it.slots }

    /** Returns the share of [workspace], or 1 if the desired state does not list it. */
    public fun shareOf(workspace: WorkspaceId): Double = shares[workspace] ?: 1.0

    /** Returns the queue limit of [workspace] per host, or [default] if the desired state does not list it. */
    public fun queueLimitOf(workspace: WorkspaceId, default: Int): Int = queueLimits[workspace] ?: default

    /** Returns the number of slots of [upstream], or 0 if it accepts no new requests. */
    public fun slotsOf(upstream: UpstreamId): Int = slotsByUpstream[upstream] ?: 0
}

/**
 * Derives the plan of every pool from [state]; [leaving] lists upstreams that are leaving by the host list or their own status.
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
