package buckthornbay.core.pool

import buckthornbay.protocol.DemandReport
import buckthornbay.protocol.HostId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceDemand
import buckthornbay.protocol.WorkspaceId

/** The pool owner's record of one host that uses the pool: its last report and its allocation. */
internal class HolderView(val host: HostId) {
    var incarnation = 0L
    var reportVersion = 0L
    var lastReportAtMillis = 0L
    val demand = LinkedHashMap<WorkspaceId, WorkspaceDemand>()
    val servedUnits = HashMap<WorkspaceId, Double>()
    val use = HashMap<UpstreamId, Usage>()
    var allocated: MutableMap<UpstreamId, Int> = HashMap()
    var longSlots = Int.MAX_VALUE
    var sentVersion = 0L
    var sentAtMillis = Long.MIN_VALUE / 2
    var changed = false
    var wantsHistory = false
    private val unconfirmed = ArrayDeque<Sent>()

    private class Sent(val version: Long, val slots: Map<UpstreamId, Int>)

    /** The usage of one upstream in the host's last report. */
    data class Usage(val inUse: Int, val longInUse: Int, val busyMillis: Long, val progressUnits: Double)

    val queued: Int get() = demand.values.sumOf { it.queuedShort + it.queuedLong }
    val running: Int get() = demand.values.sumOf { it.running }

    /** Returns the maximum number of requests that the host may run at [upstream] under any allocation still unconfirmed. */
    fun committedAt(upstream: UpstreamId): Int =
        maxOf(allocated[upstream] ?: 0, use[upstream]?.inUse ?: 0, unconfirmed.maxOfOrNull { it.slots[upstream] ?: 0 } ?: 0)

    /** Records that the current slots are sent to the host, and returns the version of that allocation. */
    fun recordSend(): Long {
        sentVersion++
        changed = false
        unconfirmed.addLast(Sent(sentVersion, HashMap(allocated)))
        while (unconfirmed.size > MAX_UNCONFIRMED) unconfirmed.removeFirst()
        return sentVersion
    }

    /** Records that the host applied allocation [version] of the owner's current epoch. */
    fun recordConfirmation(version: Long) {
        while (unconfirmed.isNotEmpty() && unconfirmed.first().version < version) unconfirmed.removeFirst()
    }

    /** Returns the number of allocated but unused slots; 0 while requests are queued at the host. */
    fun idleSlots(): Int = if (queued > 0) 0 else maxOf(0, allocatedCount - running)

    val allocatedCount: Int get() = allocated.values.sum()

    /** Returns whether [report] is newer than the last one processed. */
    fun isNewer(report: DemandReport): Boolean =
        report.incarnation > incarnation || (report.incarnation == incarnation && report.version > reportVersion)

    private companion object {
        /** Unconfirmed versions kept for a host; older ones have expired by then. */
        const val MAX_UNCONFIRMED = 64
    }
}
