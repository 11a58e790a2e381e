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

    private class Held(val recent: Map<WorkspaceId, Double>, val asOfMillis: Long)

    private val held = LinkedHashMap<String, Held>()
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

    /**
     * Takes in that the recent work at [source], a host or a group of hosts, is [recent] tokens by workspace.
     *
     * It replaces what the source said before, and is dropped when nothing more comes from it.
     */
    public fun putSnapshot(nowMillis: Long, source: String, recent: Map<WorkspaceId, Double>) {
        held[source] = Held(recent, nowMillis)
        recent.keys.forEach { fleet.getOrPut(it) { Recent(0.0, nowMillis) } }
        held.values.removeIf { nowMillis - it.asOfMillis > HELD_MILLIS }
    }

    /** Returns what [source] said last; empty where that does not count any more. */
    public fun snapshotOf(nowMillis: Long, source: String): Map<WorkspaceId, Double> =
        held[source]?.takeIf { nowMillis - it.asOfMillis <= HELD_MILLIS }?.recent.orEmpty()

    /** Returns the recent work of all workspaces on this host and at those of the held sources that [include] names. */
    public fun recentOf(nowMillis: Long, include: (String) -> Boolean): Map<WorkspaceId, Double> = fleet.keys
        .associateWith { workspace -> own.recent(nowMillis, workspace) + heldTokens(nowMillis, workspace, include) }
        .filterValues { it >= 1.0 }

    /** Returns the recent work of [workspace] on all hosts, in tokens. */
    public fun recentTokens(nowMillis: Long, workspace: WorkspaceId): Double =
        fleet.recent(nowMillis, workspace) + heldTokens(nowMillis, workspace) { true }

    /** Returns the recent work of [workspace] on all hosts, in tokens a second. */
    public fun tokensPerSecond(nowMillis: Long, workspace: WorkspaceId): Double =
        recentTokens(nowMillis, workspace) / fadeMillis * MILLIS_PER_SECOND

    /** Returns which part of the recent work of [workspace] was on this host, from 0 to 1. */
    public fun ownPart(nowMillis: Long, workspace: WorkspaceId): Double {
        val all = recentTokens(nowMillis, workspace)
        return if (all <= 0) 1.0 else (own.recent(nowMillis, workspace) / all).coerceIn(0.0, 1.0)
    }

    private fun heldTokens(nowMillis: Long, workspace: WorkspaceId, include: (String) -> Boolean): Double =
        held.entries.sumOf { (source, entry) ->
            val counts = nowMillis - entry.asOfMillis <= HELD_MILLIS && include(source)
            if (counts) entry.recent[workspace] ?: 0.0 else 0.0
        }

    private fun HashMap<WorkspaceId, Recent>.recent(nowMillis: Long, workspace: WorkspaceId): Double {
        val entry = this[workspace] ?: return 0.0
        return entry.tokens * exp(-(nowMillis - entry.asOfMillis) / fadeMillis)
    }

    private fun HashMap<WorkspaceId, Recent>.add(nowMillis: Long, workspace: WorkspaceId, tokens: Double) {
        val entry = getOrPut(workspace) { Recent(0.0, nowMillis) }
        entry.tokens = this.recent(nowMillis, workspace) + tokens
        entry.asOfMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** How long what a source said counts, in milliseconds: several exchanges, one of which may be lost. */
        const val HELD_MILLIS = 2_000L
    }
}
