package buckthornbay.core.admission

import buckthornbay.protocol.HostId
import buckthornbay.protocol.WorkspaceId

/**
 * The workspaces with queued requests on other hosts.
 *
 * The callers of a workspace may be connected to few hosts only. A request beyond its workspace's share is therefore held back
 * on this host while a workspace that received clearly less service is queued on another host, so that the engines have room
 * for requests from there.
 *
 * @param started recent work that engines have started, by workspace.
 */
public class FleetBacklog(
    private val started: FleetAccounts,
    private val settings: FleetBacklogSettings = FleetBacklogSettings(),
) {
    private class Report(val workspaces: Collection<WorkspaceId>, val asOfMillis: Long)

    private val reports = HashMap<HostId, Report>()
    private var leastTokens: Double? = null
    private var leastAsOfMillis = Long.MIN_VALUE / 2

    /** Replaces the report of [host] by the [workspaces] that are queued there now. */
    public fun receive(nowMillis: Long, host: HostId, workspaces: Collection<WorkspaceId>) {
        reports[host] = Report(workspaces, nowMillis)
        leastAsOfMillis = Long.MIN_VALUE / 2
    }

    /** Returns the workspaces that are queued on [host]. */
    public fun waitingAt(nowMillis: Long, host: HostId): Set<WorkspaceId> = waitingWhere(nowMillis) { it == host }

    /** Returns the workspaces that are queued on the hosts that [include] accepts. */
    public fun waitingWhere(nowMillis: Long, include: (HostId) -> Boolean): Set<WorkspaceId> = reports
        .filter { (host, report) -> include(host) && nowMillis - report.asOfMillis <= settings.reportTtlMillis }
        .values.flatMap { it.workspaces }.toSet()

    /** Returns the number of workspaces that are queued on other hosts. */
    public fun waitingCount(nowMillis: Long): Int = waitingWhere(nowMillis) { true }.size

    /** Returns whether [workspace] should yield to one that is queued on another host and received clearly less service. */
    public fun shouldYield(nowMillis: Long, workspace: WorkspaceId): Boolean {
        val least = leastTokensWaiting(nowMillis) ?: return false
        return least * settings.ratio + settings.slackTokens < started.recentTokens(nowMillis, workspace)
    }

    /** Returns the recent work of the workspace that received least among those queued on other hosts; null if there is none. */
    private fun leastTokensWaiting(nowMillis: Long): Double? {
        if (nowMillis - leastAsOfMillis >= settings.refreshMillis) {
            leastTokens = waitingWhere(nowMillis) { true }.minOfOrNull { started.recentTokens(nowMillis, it) }
            leastAsOfMillis = nowMillis
        }
        return leastTokens
    }
}

/**
 * Constants of [FleetBacklog].
 *
 * @property reportTtlMillis how long a report is valid, in milliseconds; peers report several times a second.
 * @property refreshMillis how long the least work of a queued workspace is used, in milliseconds; a busy host asks for it
 * thousands of times a second.
 * @property ratio ratio between the recent work of two workspaces above which the larger one yields.
 * @property slackTokens additional recent work that is tolerated, in tokens: one large request.
 */
public data class FleetBacklogSettings(
    public val reportTtlMillis: Long = 1_500,
    public val refreshMillis: Long = 10,
    public val ratio: Double = 1.25,
    public val slackTokens: Double = 15_000.0,
)
