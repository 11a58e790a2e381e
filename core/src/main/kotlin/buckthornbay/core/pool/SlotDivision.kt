package buckthornbay.core.pool

import buckthornbay.protocol.HostId
import buckthornbay.protocol.WorkspaceId
import java.util.PriorityQueue

/**
 * Divides a pool's slots between the hosts, slot by slot to the workspace with the least normalized service.
 *
 * @property slotUnits what one slot serves until the next division, in cost units; it says how fast a workspace that is
 * behind catches up.
 * @property longShare part of the slots that long work may hold while short work comes that is not backlogged itself.
 */
internal class SlotDivision(
    private val plan: PoolPlan,
    private val ledger: FairLedger,
    private val slotUnits: Double,
    private val longShare: Double,
) {
    /** One host's part of the division. */
    class HostShare(var slots: Int = 0, var longSlots: Int = 0)

    private class HostDemand(val host: HostId, val short: ClassDemand, val long: ClassDemand)

    /** Requests of one length; those that run keep their slots first, so that a division changes little. */
    private class ClassDemand(var running: Int, var queued: Int) {
        val count: Int get() = running + queued

        fun serveOne() {
            if (running > 0) running-- else queued--
        }
    }

    private class Contender(val workspace: WorkspaceId, var normalizedUnits: Double, val hosts: MutableList<HostDemand>) {
        val short: Int get() = hosts.sumOf { it.short.count }
    }

    /** Returns each host's slots out of [totalSlots]; slots that nobody needs are spread evenly as standing slots. */
    fun divide(views: Collection<HolderView>, totalSlots: Int, shortComes: Boolean): Map<HostId, HostShare> {
        val fair = Pass(views, totalSlots, longLimit = totalSlots).run()
        if (!shortComes || fair.shortIsBacklogged) return fair.shares
        val longLimit = maxOf(1, (totalSlots * longShare).toInt())
        return if (fair.longCount <= longLimit) fair.shares else Pass(views, totalSlots, longLimit).run().shares
    }

    private inner class Pass(views: Collection<HolderView>, totalSlots: Int, private val longLimit: Int) {
        val shares = views.associate { it.host to HostShare() }
        var longCount = 0
        private val contenders = PriorityQueue(compareBy<Contender>({ it.normalizedUnits }, { it.workspace.value }))
        private var left = totalSlots

        init {
            contenders += contendersOf(views)
        }

        val shortIsBacklogged: Boolean get() = contenders.any { it.short > 0 }

        fun run(): Pass {
            val served = ArrayList<Contender>()
            while (left > 0 && contenders.isNotEmpty()) {
                val contender = contenders.poll()
                if (!serve(contender)) {
                    served += contender
                    continue
                }
                contender.normalizedUnits += slotUnits / plan.shareOf(contender.workspace)
                contenders += contender
            }
            contenders += served
            spread(shares, left)
            return this
        }

        private fun serve(contender: Contender): Boolean {
            val long = contender.short == 0
            if (long && longCount == longLimit) return false
            val host = contender.hosts.maxWith(compareBy({ it.of(long).running }, { it.of(long).queued }))
            if (host.of(long).count == 0) return false
            host.of(long).serveOne()
            val share = shares.getValue(host.host)
            share.slots++
            if (long) {
                share.longSlots++
                longCount++
            }
            left--
            return true
        }
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
                contender.hosts += HostDemand(
                    view.host,
                    short = ClassDemand(demand.running - long, demand.queuedShort),
                    long = ClassDemand(long, demand.queuedLong),
                )
            }
        }
        return contenders.values.toList()
    }

    private fun HostDemand.of(long: Boolean): ClassDemand = if (long) this.long else short

    private fun spread(shares: Map<HostId, HostShare>, count: Int) {
        val ordered = shares.entries.sortedBy { it.key.value }.map { it.value }
        if (ordered.isEmpty()) return
        repeat(count) { ordered.minBy { it.slots }.slots++ }
    }
}
