package buckthornbay.core.pool

import buckthornbay.protocol.HostId
import buckthornbay.protocol.WorkspaceId
import java.util.PriorityQueue

/**
 * The division of a pool's slots between the hosts, which grants each slot to the workspace with the least normalized service.
 *
 * @property slotUnits cost units charged for each granted slot: what a slot serves in the catch-up time. A smaller figure lets
 * a workspace below its share catch up faster.
 * @property longShare fraction of the slots that long requests may use while short requests arrive and are not backlogged.
 */
internal class SlotDivision(
    private val plan: PoolPlan,
    private val ledger: FairLedger,
    private val slotUnits: Double,
    private val longShare: Double,
) {
    /** The slots of one host, and how many of them were granted for long requests. */
    class HostShare(var slots: Int = 0, var longSlots: Int = 0)

    private class HostDemand(val host: HostId, val short: ClassDemand, val long: ClassDemand)

    /** The short or long requests of one workspace at one host. Running ones are granted slots first, so that few slots move. */
    private class ClassDemand(var running: Int, var queued: Int) {
        val count: Int get() = running + queued

        fun grantOne() {
            if (running > 0) running-- else queued--
        }
    }

    private class Contender(val workspace: WorkspaceId, var normalizedUnits: Double, val hosts: MutableList<HostDemand>) {
        val short: Int get() = hosts.sumOf { it.short.count }
    }

    /** Returns each host's slots out of [totalSlots]; slots without demand are spread evenly over the hosts. */
    fun divide(views: Collection<HolderView>, totalSlots: Int, shortWorkActive: Boolean): Map<HostId, HostShare> {
        val fair = Pass(views, totalSlots, longLimit = totalSlots).run()
        if (!shortWorkActive || fair.shortIsBacklogged) return fair.shares
        val longLimit = maxOf(1, (totalSlots * longShare).toInt())
        return if (fair.longCount <= longLimit) fair.shares else Pass(views, totalSlots, longLimit).run().shares
    }

    private inner class Pass(views: Collection<HolderView>, totalSlots: Int, private val longLimit: Int) {
        val shares = views.associate { it.host to HostShare() }
        var longCount = 0
        private val contenders = PriorityQueue(compareBy<Contender>({ it.normalizedUnits }, { it.workspace.value }))
        private var remaining = totalSlots

        init {
            contenders += contendersOf(views)
        }

        val shortIsBacklogged: Boolean get() = contenders.any { it.short > 0 }

        fun run(): Pass {
            val finished = ArrayList<Contender>()
            while (remaining > 0 && contenders.isNotEmpty()) {
                val contender = contenders.poll()
                if (!grantSlot(contender)) {
                    finished += contender
                    continue
                }
                contender.normalizedUnits += slotUnits / plan.shareOf(contender.workspace)
                contenders += contender
            }
            contenders += finished
            spreadEvenly(shares, remaining)
            return this
        }

        private fun grantSlot(contender: Contender): Boolean {
            val long = contender.short == 0
            if (long && longCount == longLimit) return false
            val host = contender.hosts.maxWith(compareBy({ it.demandOf(long).running }, { it.demandOf(long).queued }))
            if (host.demandOf(long).count == 0) return false
            host.demandOf(long).grantOne()
            val share = shares.getValue(host.host)
            share.slots++
            if (long) {
                share.longSlots++
                longCount++
            }
            remaining--
            return true
        }
    }

    private fun contendersOf(views: Collection<HolderView>): List<Contender> {
        val contenders = HashMap<WorkspaceId, Contender>()
        for (view in views) {
            for ((workspace, demand) in view.demand) {
                if (demand.running + demand.queuedShort + demand.queuedLong == 0) continue
                val contender = contenders.getOrPut(workspace) {
                    Contender(workspace, ledger.normalizedUnitsOf(workspace), ArrayList())
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

    private fun HostDemand.demandOf(long: Boolean): ClassDemand = if (long) this.long else short

    private fun spreadEvenly(shares: Map<HostId, HostShare>, count: Int) {
        val ordered = shares.entries.sortedBy { it.key.value }.map { it.value }
        if (ordered.isEmpty()) return
        repeat(count) { ordered.minBy { it.slots }.slots++ }
    }
}
