package buckthornbay.core.pool

import buckthornbay.protocol.HostId
import buckthornbay.protocol.WorkspaceId
import java.util.PriorityQueue

/**
 * Divides a pool's slots between the hosts, slot by slot to the workspace with the least normalized service.
 *
 * @property slotUnits what one slot serves until the next division, in cost units; it says how fast a workspace that is
 * behind catches up.
 * @property longLimit how many slots may go to long work.
 */
internal class SlotDivision(
    private val plan: PoolPlan,
    private val ledger: FairLedger,
    private val slotUnits: Double,
    private val longLimit: Int,
) {
    /** One host's part of the division. */
    class HostShare(var slots: Int = 0, var longSlots: Int = 0)

    private class HostDemand(val host: HostId, var short: Int, var long: Int)

    private class Contender(val workspace: WorkspaceId, var normalizedUnits: Double, val hosts: MutableList<HostDemand>) {
        val short: Int get() = hosts.sumOf { it.short }
    }

    /** Returns each host's slots out of [totalSlots]; slots that nobody needs are spread evenly as standing slots. */
    fun divide(views: Collection<HolderView>, totalSlots: Int): Map<HostId, HostShare> {
        val shares = views.associate { it.host to HostShare() }
        val contenders = PriorityQueue(compareBy<Contender>({ it.normalizedUnits }, { it.workspace.value }))
        contenders += contendersOf(views)
        var left = totalSlots
        var longLeft = longLimit
        while (left > 0 && contenders.isNotEmpty()) {
            val contender = contenders.poll()
            val long = contender.short == 0
            val demand = if (long) contender.hosts.maxBy { it.long } else contender.hosts.maxBy { it.short }
            if (long && (longLeft == 0 || demand.long == 0)) continue
            grant(shares.getValue(demand.host), demand, long)
            if (long) longLeft--
            left--
            contender.normalizedUnits += slotUnits / plan.shareOf(contender.workspace)
            contenders += contender
        }
        spread(shares, left)
        return shares
    }

    private fun contendersOf(views: Collection<HolderView>): List<Contender> {
        val contenders = HashMap<WorkspaceId, Contender>()
        for (view in views) {
            for ((workspace, demand) in view.demand) {
                if (demand.running + demand.queuedShort + demand.queuedLong == 0) continue
                val contender = contenders.getOrPut(workspace) {
                    Contender(workspace, ledger.normalizedOf(workspace), ArrayList())
                }
                val long = minOf(demand.runningLong, demand.running)
                contender.hosts += HostDemand(view.host, demand.queuedShort + demand.running - long, demand.queuedLong + long)
            }
        }
        return contenders.values.toList()
    }

    private fun grant(share: HostShare, demand: HostDemand, long: Boolean) {
        share.slots++
        if (long) {
            share.longSlots++
            demand.long--
        } else {
            demand.short--
        }
    }

    private fun spread(shares: Map<HostId, HostShare>, count: Int) {
        val ordered = shares.entries.sortedBy { it.key.value }.map { it.value }
        if (ordered.isEmpty()) return
        repeat(count) { ordered.minBy { it.slots }.slots++ }
    }
}
