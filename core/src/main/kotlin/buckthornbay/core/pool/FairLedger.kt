package buckthornbay.core.pool

import buckthornbay.protocol.WorkspaceId

/**
 * The service that each workspace has received, divided by its share, so that the least is served next.
 *
 * A workspace that becomes backlogged is lifted to the least figure among the active ones, so that idling saves up nothing.
 * While nobody is backlogged nobody is owed anything, and all figures are made equal.
 */
public class FairLedger {
    private val normalizedUnits = HashMap<WorkspaceId, Double>()
    private val backlogged = HashSet<WorkspaceId>()
    private var floorUnits = 0.0
    private var calmSinceMillis: Long? = null

    /** Returns the service that [workspace] has received, in cost units a share. */
    public fun normalizedOf(workspace: WorkspaceId): Double = normalizedUnits[workspace] ?: floorUnits

    /** Counts [units] cost units of service for [workspace] with [share]; negative where an estimate was too high. */
    public fun add(workspace: WorkspaceId, units: Double, share: Double) {
        normalizedUnits[workspace] = normalizedOf(workspace) + units / share
    }

    /** Takes over a figure that another host remembers, where it is higher than the own one. */
    public fun recall(workspace: WorkspaceId, units: Double) {
        normalizedUnits[workspace] = maxOf(normalizedOf(workspace), units)
    }

    /** Takes note of who is [active] (queued or running) and who of them is [nowBacklogged] (queued) at [nowMillis]. */
    public fun observe(nowMillis: Long, active: Set<WorkspaceId>, nowBacklogged: Set<WorkspaceId>) {
        val settled = active.filter { it in backlogged || it !in nowBacklogged }
        settled.minOfOrNull { normalizedOf(it) }?.let { floorUnits = maxOf(floorUnits, it) }
        for (workspace in nowBacklogged - backlogged) {
            normalizedUnits[workspace] = maxOf(normalizedOf(workspace), floorUnits)
        }
        backlogged.clear()
        backlogged += nowBacklogged
        forgetDebtsWhenCalm(nowMillis)
    }

    private fun forgetDebtsWhenCalm(nowMillis: Long) {
        if (backlogged.isNotEmpty()) {
            calmSinceMillis = null
            return
        }
        val since = calmSinceMillis ?: nowMillis.also { calmSinceMillis = it }
        if (nowMillis - since < CALM_MILLIS) return
        floorUnits = maxOf(floorUnits, normalizedUnits.values.maxOrNull() ?: 0.0)
        normalizedUnits.clear()
    }

    private companion object {
        /** How long nobody may be backlogged before debts are forgotten, in milliseconds. */
        const val CALM_MILLIS = 1_000L
    }
}
