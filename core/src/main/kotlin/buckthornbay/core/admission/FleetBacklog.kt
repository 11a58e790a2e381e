package buckthornbay.core.admission

import buckthornbay.protocol.HostId
import buckthornbay.protocol.WorkspaceId

/**
 * Which workspaces wait for service on other hosts.
 *
 * It answers workspaces whose callers sit on few hosts: what one workspace asks beyond its share does not begin on a host
 * with room while another workspace that was given less waits elsewhere, so that the engines have room for the other host.
 */
public class FleetBacklog(private val begun: FleetAccounts, private val settings: FleetBacklogSettings = FleetBacklogSettings()) {
    private class Report(val workspaces: Collection<WorkspaceId>, val asOfMillis: Long)

    private val reports = HashMap<HostId, Report>()

    /** Takes in that [workspaces] wait on [host]. */
    public fun receive(nowMillis: Long, host: HostId, workspaces: Collection<WorkspaceId>) {
        reports[host] = Report(workspaces, nowMillis)
    }

    /** Returns the workspaces that wait at [host]. */
    public fun waitingAt(nowMillis: Long, host: HostId): Set<WorkspaceId> = waitingWhere(nowMillis) { it == host }

    /** Returns the workspaces that wait at the hosts that [include] names. */
    public fun waitingWhere(nowMillis: Long, include: (HostId) -> Boolean): Set<WorkspaceId> = reports
        .filter { (host, report) -> include(host) && nowMillis - report.asOfMillis <= settings.freshMillis }
        .values.flatMap { it.workspaces }.toSet()

    /** Returns whether [workspace] should leave room for one that waits on another host and was given clearly less. */
    public fun shouldYield(nowMillis: Long, workspace: WorkspaceId): Boolean {
        val own = begun.recentTokens(nowMillis, workspace)
        return reports.values.any { report ->
            nowMillis - report.asOfMillis <= settings.freshMillis &&
                report.workspaces.any { begun.recentTokens(nowMillis, it) * settings.ratio + settings.slackTokens < own }
        }
    }
}

/**
 * Constants of [FleetBacklog].
 *
 * @property freshMillis how long a report counts, in milliseconds; peers report several times a second.
 * @property ratio how many times another workspace's recent work a workspace may have before it yields.
 * @property slackTokens recent work beyond that which is no reason to yield, in tokens: one large request.
 */
public data class FleetBacklogSettings(
    public val freshMillis: Long = 1_500,
    public val ratio: Double = 1.25,
    public val slackTokens: Double = 15_000.0,
)
