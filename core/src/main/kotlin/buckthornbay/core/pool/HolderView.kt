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
    var changed = false
    private var obeyedVersion = 0L
    private val unconfirmed = HashMap<UpstreamId, Int>()

    /** What the host last reported of one upstream. */
    data class Usage(val inUse: Int, val longInUse: Int, val busyMillis: Long, val progressUnits: Double)

    val queued: Int get() = demand.values.sumOf { it.queuedShort + it.queuedLong }
    val running: Int get() = demand.values.sumOf { it.running }

    /** Returns the most requests that the host may run at [upstream] now, given what it has confirmed. */
    fun committedAt(upstream: UpstreamId): Int =
        maxOf(allocated[upstream] ?: 0, use[upstream]?.inUse ?: 0, unconfirmed[upstream] ?: 0)

    /** Replaces the host's slots; lowered ones stay committed until the host confirms the version that carries them. */
    fun allocate(slots: Map<UpstreamId, Int>) {
        for ((upstream, count) in allocated) {
            if ((slots[upstream] ?: 0) < count) unconfirmed.merge(upstream, count, ::maxOf)
        }
        allocated = HashMap(slots)
    }

    /** Notes that the host obeys allocation [version] of the owner's present epoch. */
    fun confirm(version: Long) {
        obeyedVersion = maxOf(obeyedVersion, version)
        if (obeyedVersion >= sentVersion) unconfirmed.clear()
    }

    /** Whether [report] is later than the last one taken in. */
    fun accepts(report: DemandReport): Boolean =
        report.incarnation > incarnation || (report.incarnation == incarnation && report.version > reportVersion)
}
