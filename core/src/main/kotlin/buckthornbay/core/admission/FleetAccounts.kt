package buckthornbay.core.admission

import buckthornbay.protocol.HostId
import buckthornbay.protocol.WorkspaceId
import kotlin.math.exp

/**
 * Exponentially decaying sums of the work of each workspace on all hosts, in tokens.
 *
 * Hosts exchange cumulative totals, so that lost, duplicated and reordered messages do no harm.
 *
 * @param timeConstantMillis time constant of the decay, in milliseconds; work of that age has a weight of about one third (1/e).
 */
public class FleetAccounts(private val timeConstantMillis: Double) {
    private class DecayingSum(var tokens: Double, var asOfMillis: Long)

    private class RemoteTotals(
        val incarnation: Long,
        val totals: Map<WorkspaceId, Double>,
        val recent: HashMap<WorkspaceId, DecayingSum>,
    )

    private class Snapshot(val recent: Map<WorkspaceId, Double>, val asOfMillis: Long)

    private val snapshots = LinkedHashMap<String, Snapshot>()
    private val fleet = HashMap<WorkspaceId, DecayingSum>()
    private val own = HashMap<WorkspaceId, DecayingSum>()
    private val ownTotals = HashMap<WorkspaceId, Double>()
    private val remoteTotals = HashMap<HostId, RemoteTotals>()

    /** Returns the cumulative work of this host since it started, to be sent to peers. */
    public fun totals(): Map<WorkspaceId, Double> = ownTotals.toMap()

    /** Workspaces with work recorded on any host. */
    public val workspaces: Set<WorkspaceId> get() = fleet.keys

    /** Records [tokens] of work for [workspace] on this host. */
    public fun charge(nowMillis: Long, workspace: WorkspaceId, tokens: Double) {
        ownTotals.merge(workspace, tokens, Double::plus)
        own.add(nowMillis, workspace, tokens)
        fleet.add(nowMillis, workspace, tokens)
    }

    /** Takes back [tokens] of [workspace] that were charged on this host at [chargedAtMillis]. */
    public fun refund(nowMillis: Long, workspace: WorkspaceId, tokens: Double, chargedAtMillis: Long) {
        ownTotals.merge(workspace, -tokens, Double::plus)
        val left = tokens * exp(-(nowMillis - chargedAtMillis) / timeConstantMillis)
        own.add(nowMillis, workspace, -left)
        fleet.add(nowMillis, workspace, -left)
    }

    /** Merges the cumulative [totals] of [host] since the start of its [incarnation]. */
    public fun receive(nowMillis: Long, host: HostId, incarnation: Long, totals: Map<WorkspaceId, Double>) {
        val previous = remoteTotals[host]
        if (previous != null && incarnation < previous.incarnation) return
        val current = RemoteTotals(incarnation, totals, previous?.recent ?: HashMap())
        remoteTotals[host] = current
        if (previous == null || previous.incarnation != incarnation) return
        for ((workspace, total) in totals) {
            val delta = total - (previous.totals[workspace] ?: 0.0)
            if (delta == 0.0) continue
            fleet.add(nowMillis, workspace, delta)
            current.recent.add(nowMillis, workspace, delta)
        }
    }

    /** Removes the totals of [host] after it left the fleet. */
    public fun forget(host: HostId) {
        remoteTotals.remove(host)
    }

    /**
     * Stores the [recent] work by workspace, in tokens, reported by [source], a host or a group of hosts.
     *
     * It replaces the previous snapshot of the source and expires unless the source reports again.
     */
    public fun putSnapshot(nowMillis: Long, source: String, recent: Map<WorkspaceId, Double>) {
        snapshots[source] = Snapshot(recent, nowMillis)
        recent.keys.forEach { fleet.getOrPut(it) { DecayingSum(0.0, nowMillis) } }
        snapshots.values.removeIf { nowMillis - it.asOfMillis > SNAPSHOT_TTL_MILLIS }
    }

    /** Returns the latest snapshot of [source]; empty if there is none or it has expired. */
    public fun snapshotOf(nowMillis: Long, source: String): Map<WorkspaceId, Double> =
        snapshots[source]?.takeIf { nowMillis - it.asOfMillis <= SNAPSHOT_TTL_MILLIS }?.recent.orEmpty()

    /**
     * Returns the recent work by workspace in the snapshots of the sources that [include] accepts, and on this host if
     * [withOwn].
     */
    public fun recentOf(nowMillis: Long, withOwn: Boolean, include: (String) -> Boolean): Map<WorkspaceId, Double> = fleet.keys
        .associateWith { workspace ->
            snapshotTokens(nowMillis, workspace, include) + if (withOwn) own.recent(nowMillis, workspace) else 0.0
        }
        .filterValues { it >= 1.0 }

    /** Returns the recent work of [workspace] on all hosts, in tokens. */
    public fun recentTokens(nowMillis: Long, workspace: WorkspaceId): Double =
        fleet.recent(nowMillis, workspace) + snapshotTokens(nowMillis, workspace) { true }

    /** Returns the recent work of [workspace] on all hosts, in tokens per second. */
    public fun tokensPerSecond(nowMillis: Long, workspace: WorkspaceId): Double =
        recentTokens(nowMillis, workspace) / timeConstantMillis * MILLIS_PER_SECOND

    /** Returns the recent work of [workspace] on this host, in tokens per second. */
    public fun ownTokensPerSecond(nowMillis: Long, workspace: WorkspaceId): Double =
        own.recent(nowMillis, workspace) / timeConstantMillis * MILLIS_PER_SECOND

    /** Returns the recent work that the sources that [include] accepts have reported, in tokens per second. */
    public fun tokensPerSecondAt(nowMillis: Long, include: (source: String) -> Boolean): Map<WorkspaceId, Double> {
        val reports = snapshots.filterKeys(include).values.filter { nowMillis - it.asOfMillis <= SNAPSHOT_TTL_MILLIS }
        val hosts = remoteTotals.filterKeys { include(it.value) }.values
        return fleet.keys.associateWith { workspace ->
            val tokens = reports.sumOf { it.recent[workspace] ?: 0.0 } + hosts.sumOf { it.recent.recent(nowMillis, workspace) }
            tokens / timeConstantMillis * MILLIS_PER_SECOND
        }
    }

    /** Returns the fraction of the recent work of [workspace] that was on this host, from 0 to 1. */
    public fun ownFraction(nowMillis: Long, workspace: WorkspaceId): Double {
        val all = recentTokens(nowMillis, workspace)
        return if (all <= 0) 1.0 else (own.recent(nowMillis, workspace) / all).coerceIn(0.0, 1.0)
    }

    private fun snapshotTokens(nowMillis: Long, workspace: WorkspaceId, include: (String) -> Boolean): Double =
        snapshots.entries.sumOf { (source, entry) ->
            val counts = nowMillis - entry.asOfMillis <= SNAPSHOT_TTL_MILLIS && include(source)
            if (counts) entry.recent[workspace] ?: 0.0 else 0.0
        }

    private fun HashMap<WorkspaceId, DecayingSum>.recent(nowMillis: Long, workspace: WorkspaceId): Double {
        val entry = this[workspace] ?: return 0.0
        return entry.tokens * exp(-(nowMillis - entry.asOfMillis) / timeConstantMillis)
    }

    private fun HashMap<WorkspaceId, DecayingSum>.add(nowMillis: Long, workspace: WorkspaceId, tokens: Double) {
        val entry = getOrPut(workspace) { DecayingSum(0.0, nowMillis) }
        entry.tokens = (this.recent(nowMillis, workspace) + tokens).coerceAtLeast(0.0)
        entry.asOfMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** How long a snapshot is valid, in milliseconds: several exchange periods, as a message may be lost. */
        const val SNAPSHOT_TTL_MILLIS = 2_000L
    }
}
