package buckthornbay.core.pool

import buckthornbay.protocol.DemandReport
import buckthornbay.protocol.HostId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceDemand
import buckthornbay.protocol.WorkspaceId

/** What the owner of a pool knows of one host that uses the pool. */
internal class HolderView(val host: HostId) {
    var incarnation = 0L
    var reportVersion = 0L
    var heardAtMillis = 0L
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

    /** What the host last reported of one upstream. */
    data class Usage(val inUse: Int, val longInUse: Int, val busyMillis: Long, val progressUnits: Double)

    val queued: Int get() = demand.values.sumOf { it.queuedShort + it.queuedLong }
    val running: Int get() = demand.values.sumOf { it.running }

    /** Returns the most requests that the host may run at [upstream] now, given what it has confirmed. */
    fun committedAt(upstream: UpstreamId): Int =
        maxOf(allocated[upstream] ?: 0, use[upstream]?.inUse ?: 0, unconfirmed.maxOfOrNull { it.slots[upstream] ?: 0 } ?: 0)

    /** Notes that the present slots are told to the host, and returns the version that tells them. */
    fun send(): Long {
        sentVersion++
        changed = false
        unconfirmed.addLast(Sent(sentVersion, HashMap(allocated)))
        while (unconfirmed.size > MAX_UNCONFIRMED) unconfirmed.removeFirst()
        return sentVersion
    }

    /** Notes that the host obeys allocation [version] of the owner's present epoch. */
    fun confirm(version: Long) {
        while (unconfirmed.isNotEmpty() && unconfirmed.first().version < version) unconfirmed.removeFirst()
    }

    /** Slots that the host has and does not use, while nothing waits there. */
    fun idleSlots(): Int = if (queued > 0) 0 else maxOf(0, allocatedCount - running)

    val allocatedCount: Int get() = allocated.values.sum()

    /** Whether [report] is later than the last one taken in. */
    fun accepts(report: DemandReport): Boolean =
        report.incarnation > incarnation || (report.incarnation == incarnation && report.version > reportVersion)

    private companion object {
        /** Versions remembered for a host that confirms none; older ones have lapsed by then. */
        const val MAX_UNCONFIRMED = 64
    }
}
