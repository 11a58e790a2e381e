package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member

/** The loads that hosts report, in thousandths of what they bear. */
public class HostLoads(private val settings: HostReliefSettings = HostReliefSettings()) {
    private class Report(val permille: Int, val asOfMillis: Long)

    private val reports = HashMap<HostId, Report>()

    /** Records the load of [host]. */
    public fun record(nowMillis: Long, host: HostId, permille: Int) {
        reports[host] = Report(permille, nowMillis)
    }

    /** Returns the recent loads that are worth reporting to others. */
    public fun notable(nowMillis: Long): Map<HostId, Int> {
        reports.values.removeIf { nowMillis - it.asOfMillis > settings.reportTtlMillis }
        return reports.filterValues { it.permille >= settings.notablePermille }.mapValues { it.value.permille }
    }

    /**
     * Returns those of [hosts], all of them near a caller, that have room for more callers; at least half of them.
     *
     * Load: the callers of some workspaces use one host each, as long as the address list names it. A host that is clearly busier
     * than the others is left out, so that its callers spread over them, and is named again when they have left.
     */
    public fun withRoom(nowMillis: Long, hosts: List<Member>): List<Member> {
        val loads = notable(nowMillis)
        if (loads.isEmpty() || hosts.size < 2) return hosts
        val total = hosts.sumOf { loads[it.host] ?: 0 }
        val busy = hosts.filter { isBusy(loads[it.host] ?: 0, total, hosts.size) }
        return hosts - busy.sortedByDescending { loads[it.host] }.take(hosts.size / 2).toSet()
    }

    /** Returns whether a host of the load [permille] is clearly busier than the others, of [count] hosts that have [total]. */
    private fun isBusy(permille: Int, total: Int, count: Int): Boolean {
        val meanOfOthers = (total - permille).toDouble() / (count - 1)
        return permille >= settings.busyPermille && permille >= meanOfOthers * settings.meanFactor
    }
}

/**
 * Constants of [HostLoads].
 *
 * @property reportTtlMillis how long a report is valid, in milliseconds: several exchanges, as a message may be lost.
 * @property notablePermille load below which a host reports none, in thousandths.
 * @property busyPermille least load of a host that is left out of address lists, in thousandths; callers keep a list for seconds,
 * in which the load of a surge goes on rising.
 * @property meanFactor how many times the mean load of the others a host that is left out has at least.
 */
public data class HostReliefSettings(
    public val reportTtlMillis: Long = 2_000,
    public val notablePermille: Int = 50,
    public val busyPermille: Int = 150,
    public val meanFactor: Double = 2.0,
)
