package buckthornbay.core.admission

import buckthornbay.protocol.WorkspaceId

/**
 * What callers of the workspaces ask for on all hosts, and what engines begin for them.
 *
 * @property requested demand over a second or so, by which hosts divide the engines among them.
 * @property punctual demand at present of requests that can still meet their objective.
 * @property late demand at present of requests that have missed it, which are repeated ones.
 * @property started work that engines have started in the last second.
 */
public class WorkspaceDemand(
    public val requested: FleetAccounts,
    public val started: FleetAccounts,
    public val punctual: FleetAccounts = FleetAccounts(PRESENT_MILLIS),
    public val late: FleetAccounts = FleetAccounts(PRESENT_MILLIS),
) {
    /** Records that [tokens] were requested on this host for [workspace], by a request that [isLate] or not. */
    public fun charge(nowMillis: Long, workspace: WorkspaceId, tokens: Double, isLate: Boolean) {
        requested.charge(nowMillis, workspace, tokens)
        (if (isLate) late else punctual).charge(nowMillis, workspace, tokens)
    }

    /** Returns the demand of each workspace at present, in tokens per second. */
    public fun present(nowMillis: Long): List<Double> = (punctual.workspaces + late.workspaces).map {
        punctual.tokensPerSecond(nowMillis, it) + late.tokensPerSecond(nowMillis, it)
    }

    private companion object {
        /** Time constant of the demand at present, in milliseconds: the period in which hosts exchange accounts. */
        const val PRESENT_MILLIS = 400.0
    }
}
