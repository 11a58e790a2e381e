package buckthornbay.core.admission

import buckthornbay.protocol.HostId
import buckthornbay.protocol.WorkspaceId
import kotlin.math.exp

/**
 * Work by workspace on all hosts together, recent work weighing most.
 *
 * Hosts tell each other cumulative totals, so that lost, doubled and reordered messages do no harm.
 *
 * @param fadeMillis time in which old work loses all but a third of its weight, in milliseconds.
 */
public class FleetAccounts(private val fadeMillis: Double) {
    private class Recent(var tokens: Double, var asOfMillis: Long)

    private class RemoteTotals(val incarnation: Long, val totals: Map<WorkspaceId, Double>)

    private val fleet = HashMap<WorkspaceId, Recent>()
    private val own = HashMap<WorkspaceId, Recent>()
    private val ownTotals = HashMap<WorkspaceId, Double>()
    private val remote = HashMap<HostId, RemoteTotals>()

    /** Returns this host's work since its start, for its peers. */
    public fun totals(): Map<WorkspaceId, Double> = ownTotals.toMap()

    /** The workspaces that have any work here. */
    public val workspaces: Set<WorkspaceId> get() = fleet.keys

    /** Notes [tokens] of work for [workspace] on this host. */
    public fun charge(nowMillis: Long, workspace: WorkspaceId, tokens: Double) {
        ownTotals.merge(workspace, tokens, Double::plus)
        own.add(nowMillis, workspace, tokens)
        fleet.add(nowMillis, workspace, tokens)
    }

    /** Takes in the [totals] that [host] has had since it started as [incarnation]. */
    public fun receive(nowMillis: Long, host: HostId, incarnation: Long, totals: Map<WorkspaceId, Double>) {
        val before = remote[host]
        if (before != null && incarnation < before.incarnation) return
        remote[host] = RemoteTotals(incarnation, totals)
        if (before == null || before.incarnation != incarnation) return
        for ((workspace, total) in totals) {
            val delta = total - (before.totals[workspace] ?: 0.0)
            if (delta > 0) fleet.add(nowMillis, workspace, delta)
        }
    }

    /** Forgets [host], which is gone. */
    public fun forget(host: HostId) {
        remote.remove(host)
    }

    /** Returns the recent work of [workspace] on all hosts, in tokens. */
    public fun recentTokens(nowMillis: Long, workspace: WorkspaceId): Double = fleet.recent(nowMillis, workspace)

    /** Returns the recent work of [workspace] on all hosts, in tokens a second. */
    public fun tokensPerSecond(nowMillis: Long, workspace: WorkspaceId): Double =
        recentTokens(nowMillis, workspace) / fadeMillis * MILLIS_PER_SECOND

    /** Returns which part of the recent work of [workspace] was on this host, from 0 to 1. */
    public fun ownPart(nowMillis: Long, workspace: WorkspaceId): Double {
        val all = fleet.recent(nowMillis, workspace)
        return if (all <= 0) 1.0 else (own.recent(nowMillis, workspace) / all).coerceIn(0.0, 1.0)
    }

    private fun HashMap<WorkspaceId, Recent>.recent(nowMillis: Long, workspace: WorkspaceId): Double {
        val entry = this[workspace] ?: return 0.0
        return entry.tokens * exp(-(nowMillis - entry.asOfMillis) / fadeMillis)
    }

    private fun HashMap<WorkspaceId, Recent>.add(nowMillis: Long, workspace: WorkspaceId, tokens: Double) {
        val entry = getOrPut(workspace) { Recent(0.0, nowMillis) }
        entry.tokens = recent(nowMillis, workspace) + tokens
        entry.asOfMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
