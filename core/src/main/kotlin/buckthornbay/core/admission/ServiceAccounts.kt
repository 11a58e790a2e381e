package buckthornbay.core.admission

import buckthornbay.protocol.HostId
import buckthornbay.protocol.WorkspaceId
import kotlin.math.exp

/**
 * How much work each workspace was given lately, on all hosts together.
 *
 * It answers a workspace that sends many times its usual through some hosts: the others are served first wherever they arrive.
 * Hosts tell each other cumulative totals, so that lost, doubled and reordered messages do no harm.
 *
 * @param fadeMillis time in which old work loses all but a third of its weight, in milliseconds.
 */
public class ServiceAccounts(private val fadeMillis: Double) {
    private class Usage(var tokens: Double, var asOfMillis: Long)

    private class RemoteTotals(val incarnation: Long, val totals: Map<WorkspaceId, Double>)

    private val recent = HashMap<WorkspaceId, Usage>()
    private val ownTotals = HashMap<WorkspaceId, Double>()
    private val remote = HashMap<HostId, RemoteTotals>()

    /** Returns what this host has given since its start, for its peers. */
    public fun totals(): Map<WorkspaceId, Double> = ownTotals.toMap()

    /** Notes that this host began work of [tokens] for [workspace]. */
    public fun charge(nowMillis: Long, workspace: WorkspaceId, tokens: Double) {
        ownTotals.merge(workspace, tokens, Double::plus)
        add(nowMillis, workspace, tokens)
    }

    /** Takes in the [totals] that [host] has given since it started as [incarnation]. */
    public fun receive(nowMillis: Long, host: HostId, incarnation: Long, totals: Map<WorkspaceId, Double>) {
        val before = remote[host]
        if (before != null && incarnation < before.incarnation) return
        remote[host] = RemoteTotals(incarnation, totals)
        if (before == null || before.incarnation != incarnation) return
        for ((workspace, total) in totals) {
            val delta = total - (before.totals[workspace] ?: 0.0)
            if (delta > 0) add(nowMillis, workspace, delta)
        }
    }

    /** Forgets [host], which is gone. */
    public fun forget(host: HostId) {
        remote.remove(host)
    }

    /** Returns the work that [workspace] was given lately, old work weighing less. */
    public fun recentTokens(nowMillis: Long, workspace: WorkspaceId): Double {
        val usage = recent[workspace] ?: return 0.0
        return usage.tokens * exp(-(nowMillis - usage.asOfMillis) / fadeMillis)
    }

    private fun add(nowMillis: Long, workspace: WorkspaceId, tokens: Double) {
        val usage = recent.getOrPut(workspace) { Usage(0.0, nowMillis) }
        usage.tokens = recentTokens(nowMillis, workspace) + tokens
        usage.asOfMillis = nowMillis
    }
}
