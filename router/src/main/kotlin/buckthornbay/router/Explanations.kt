package buckthornbay.router

import buckthornbay.core.Clock
import buckthornbay.protocol.DecisionRecord
import buckthornbay.protocol.HostId
import buckthornbay.protocol.RequestEnd
import buckthornbay.protocol.RequestExplanation
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId

/** A store of the decisions about the most recent requests, up to [capacity] requests. */
internal class Explanations(private val host: HostId, private val clock: Clock, private val capacity: Int = 10_000) {
    private val entries = object : LinkedHashMap<RequestId, Entry>() {
        override fun removeEldestEntry(eldest: Map.Entry<RequestId, Entry>): Boolean = size > capacity
    }

    private class Entry(val workspace: WorkspaceId, val service: ServiceId, val startedAtMillis: Long) {
        val decisions = ArrayList<DecisionRecord>()
        var end: RequestEnd? = null
    }

    @Synchronized
    fun begin(id: RequestId, workspace: WorkspaceId, service: ServiceId) {
        entries[id] = Entry(workspace, service, clock.nowMillis())
    }

    @Synchronized
    fun recordDecision(id: RequestId, decision: String) {
        val entry = entries[id] ?: return
        entry.decisions += DecisionRecord(clock.nowMillis() - entry.startedAtMillis, decision)
    }

    @Synchronized
    fun end(id: RequestId, end: RequestEnd) {
        entries[id]?.end = end
    }

    @Synchronized
    fun find(id: RequestId): RequestExplanation? =
        entries[id]?.let { RequestExplanation(id, host, it.workspace, it.service, it.decisions.toList(), it.end) }
}
