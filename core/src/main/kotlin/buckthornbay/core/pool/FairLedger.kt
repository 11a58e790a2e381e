package buckthornbay.core.pool

import buckthornbay.protocol.WorkspaceId

/**
 * The normalized service of each workspace: the service received divided by the share. The workspace with the least is served
 * next.
 *
 * A workspace that becomes backlogged is raised to the minimum of the workspaces that were already active, so that idle time
 * earns no credit. When no workspace has been backlogged for a second, none is owed service, and all figures are made equal.
 */
public class FairLedger {
    private val normalizedUnits = HashMap<WorkspaceId, Double>()
    private val backlogged = HashSet<WorkspaceId>()
    private var floorUnits = 0.0
    private var noBacklogSinceMillis: Long? = null

    /** Returns the normalized service of [workspace], in cost units per share. */
    public fun normalizedUnitsOf(workspace: WorkspaceId): Double = normalizedUnits[workspace] ?: floorUnits

    /** Adds [units] cost units of service to [workspace], whose share is [share]; negative [units] correct an overestimate. */
    public fun add(workspace: WorkspaceId, units: Double, share: Double) {
        normalizedUnits[workspace] = normalizedUnitsOf(workspace) + units / share
    }

    /** Raises the normalized service of [workspace] to at least [units]; used to restore figures of an earlier owner. */
    public fun raiseTo(workspace: WorkspaceId, units: Double) {
        normalizedUnits[workspace] = maxOf(normalizedUnitsOf(workspace), units)
    }

    /** Updates the sets of workspaces that are [active] (queued or running) and [nowBacklogged] (queued) at [nowMillis]. */
    public fun observe(nowMillis: Long, active: Set<WorkspaceId>, nowBacklogged: Set<WorkspaceId>) {
        val alreadyActive = active.filter { it in backlogged || it !in nowBacklogged }
        alreadyActive.minOfOrNull { normalizedUnitsOf(it) }?.let { floorUnits = maxOf(floorUnits, it) }
        for (workspace in nowBacklogged - backlogged) {
            normalizedUnits[workspace] = maxOf(normalizedUnitsOf(workspace), floorUnits)
        }
        backlogged.clear()
        backlogged += nowBacklogged
        resetAfterIdlePeriod(nowMillis)
    }

    private fun resetAfterIdlePeriod(nowMillis: Long) {
        if (backlogged.isNotEmpty()) {
            noBacklogSinceMillis = null
            return
        }
        val since = noBacklogSinceMillis ?: nowMillis.also { noBacklogSinceMillis = it }
        if (nowMillis - since < RESET_AFTER_MILLIS) return
        floorUnits = maxOf(floorUnits, normalizedUnits.values.maxOrNull() ?: 0.0)
        normalizedUnits.clear()
    }

    private companion object {
        /** Time without any backlog after which all figures are made equal, in milliseconds. */
        const val RESET_AFTER_MILLIS = 1_000L
    }
}
