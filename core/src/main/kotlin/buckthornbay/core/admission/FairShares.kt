package buckthornbay.core.admission

import buckthornbay.core.load.DemandSegment
import buckthornbay.protocol.WorkspaceId
import org.apache.commons.rng.UniformRandomProvider

/**
 * The fair shares of workspaces: the throughput of all engines, divided by max-min fairness.
 *
 * Load: workspaces whose demand multiplies for seconds, one after the other, and whose callers use all hosts, or one.
 *
 * The shares follow from the demand of the workspaces on all hosts at present. Each request of a workspace that asks for more
 * than its share is within the share with the probability at which the workspace gets just the share, whichever host it comes
 * to. So hosts need no part of the share each, which is less than one request in a large fleet, and nothing that a workspace
 * got or missed earlier counts. What engines began for it in the last second corrects the probability, because the demand at
 * other hosts is known late.
 *
 * Requests within the share are served first; the others use the remaining capacity.
 *
 * @param demand demand and begun work of the workspaces on all hosts.
 * @param hosts live hosts of the fleet.
 * @param random source of the draws.
 * @param capacity returns the throughput that is divided, for the time in milliseconds and the stated throughput, both in tokens
 * per second.
 */
public class FairShares(
    private val demand: WorkspaceDemand,
    private val hosts: HostOrder,
    private val random: UniformRandomProvider,
    private val settings: FairShareSettings = FairShareSettings(),
    private val capacity: (nowMillis: Long, stated: Double) -> Double = { _, stated -> stated },
) {
    /** What all workspaces are owed, and the throughput that nobody demands, in tokens per second. */
    private class Division(val owedByAll: Double, val spare: Double) {
        /** Returns the part of the whole for hosts that are [owed] tokens per second and [evenFraction] of the spare. */
        fun fractionOf(owed: Double, evenFraction: Double): Double = (owed + spare * evenFraction) / (owedByAll + spare)
    }

    private val fleetDemand: FleetAccounts get() = demand.requested
    private var fairShare = Double.MAX_VALUE
    private var hostFraction = 0.0
    private var division: Division? = null
    private var rates = emptyMap<WorkspaceId, Double>()
    private var fairShareAtMillis = Long.MIN_VALUE / 2

    /** Throughput that the operator states, in tokens per second; null if unknown, so that shares are unlimited. */
    public var tokensPerSecond: Double? = null

    /** Returns the throughput that is divided at present, in tokens per second; null if the operator states none. */
    public fun capacityTokensPerSecond(nowMillis: Long): Double? = tokensPerSecond?.let { capacity(nowMillis, it) }

    /**
     * Records a demand of [workspace] for [tokens] and returns whether it is within the workspace's fair share.
     *
     * A request that [isLate] has missed its objective already, and gets what those that can be in time leave of the share.
     */
    public fun tryAcquire(nowMillis: Long, workspace: WorkspaceId, tokens: Double, isLate: Boolean = false): Boolean {
        demand.charge(nowMillis, workspace, tokens, isLate)
        refreshFairShare(nowMillis)
        val punctual = demand.punctual.tokensPerSecond(nowMillis, workspace)
        val late = demand.late.tokensPerSecond(nowMillis, workspace)
        if (punctual + late <= fairShare) return true
        val owed = fairShare * correction(nowMillis, workspace)
        return random.nextDouble() < if (isLate) (owed - punctual) / late else owed / punctual
    }

    /** Returns the factor to a share that makes up for what was begun above or below it in the last second, from 0 to 2. */
    private fun correction(nowMillis: Long, workspace: WorkspaceId): Double =
        (2.0 - demand.started.tokensPerSecond(nowMillis, workspace) / fairShare).coerceAtLeast(0.0)

    /** Returns the current upper bound of a workspace's share, in tokens per second; null while all demands can be met. */
    public fun shareTokensPerSecond(nowMillis: Long): Double? {
        refreshFairShare(nowMillis)
        return fairShare.takeIf { it < Double.MAX_VALUE }
    }

    /**
     * Returns the fraction of the engines' throughput that this host may use, from 0 to 1.
     *
     * It is what the workspaces are owed for their demand at this host, each at most its fair share, and an even part of the
     * throughput that nobody demands. The callers of a workspace may use few hosts, so an even division of the whole would
     * leave such a workspace short. The demand at other hosts is known about a second late; when all demands rise at once, the
     * even part keeps the hosts from each claiming the whole. A host gets at least [FairShareSettings.minHostFraction] of an
     * even part, so that it can probe the engines.
     */
    public fun hostFraction(nowMillis: Long): Double {
        refreshFairShare(nowMillis)
        return hostFraction
    }

    /** Returns the segment of the whole that is this host's fraction, behind those of the hosts before it. */
    public fun segment(nowMillis: Long): DemandSegment {
        refreshFairShare(nowMillis)
        val evenStart = hosts.precedingCount.toDouble() / hosts.count.coerceAtLeast(1)
        val start = division?.fractionOf(owed(fleetDemand.tokensPerSecondAt(nowMillis, hosts::precedes)), evenStart)
        return DemandSegment(start ?: evenStart, hostFraction)
    }

    /**
     * Returns whether [workspace] demands less than its share, on all hosts together, at present or over the last seconds. A few
     * large requests that come together exceed the share for a moment.
     */
    public fun isBelowShare(nowMillis: Long, workspace: WorkspaceId): Boolean {
        refreshFairShare(nowMillis)
        val present = demand.punctual.tokensPerSecond(nowMillis, workspace) + demand.late.tokensPerSecond(nowMillis, workspace)
        return minOf(present, demandTokensPerSecond(nowMillis, workspace)) <= fairShare
    }

    /** Returns the demand of [workspace] on all hosts, in tokens per second. */
    public fun demandTokensPerSecond(nowMillis: Long, workspace: WorkspaceId): Double =
        fleetDemand.tokensPerSecond(nowMillis, workspace)

    private fun refreshFairShare(nowMillis: Long) {
        if (nowMillis - fairShareAtMillis < settings.refreshMillis) return
        fairShareAtMillis = nowMillis
        val divided = capacityTokensPerSecond(nowMillis)
        rates = fleetDemand.workspaces.associateWith { fleetDemand.tokensPerSecond(nowMillis, it) }
        fairShare = divided?.let { maxMinShare(demand.present(nowMillis), it * settings.capacityFactor) } ?: Double.MAX_VALUE
        division = divided?.let {
            val owedByAll = owed(rates)
            Division(owedByAll, (it - owedByAll).coerceAtLeast(0.0))
        }
        hostFraction = hostFraction(nowMillis, division)
    }

    private fun hostFraction(nowMillis: Long, division: Division?): Double {
        val evenFraction = 1.0 / hosts.count.coerceAtLeast(1)
        if (division == null) return evenFraction
        val owedHere = owed(rates.keys.associateWith { fleetDemand.ownTokensPerSecond(nowMillis, it) })
        return maxOf(division.fractionOf(owedHere, evenFraction), settings.minHostFraction * evenFraction)
    }

    /** Returns what the workspaces are owed for a [demand], which may be a part of what they demand of the whole fleet. */
    private fun owed(demand: Map<WorkspaceId, Double>): Double = demand.entries.sumOf { (workspace, tokensPerSecond) ->
        val rate = rates[workspace] ?: tokensPerSecond
        tokensPerSecond * if (rate > fairShare) fairShare / rate else 1.0
    }
}

/**
 * Returns the max-min fair share: the upper bound on each of [demands] at which their sum equals [capacity].
 *
 * Returns [Double.MAX_VALUE] if the sum does not exceed the capacity.
 *
 * ```kotlin
 * maxMinShare(listOf(10.0, 50.0, 90.0), capacity = 90.0) // 40.0: 10 + 40 + 40
 * ```
 */
public fun maxMinShare(demands: List<Double>, capacity: Double): Double {
    if (demands.sum() <= capacity) return Double.MAX_VALUE
    var remaining = capacity
    val ascending = demands.sorted()
    ascending.forEachIndexed { index, demand ->
        val evenShare = remaining / (ascending.size - index)
        if (demand >= evenShare) return evenShare
        remaining -= demand
    }
    return Double.MAX_VALUE
}

/**
 * Constants of [FairShares].
 *
 * @property capacityFactor factor applied to the engines' throughput before it is divided.
 * @property minHostFraction least part of the engines' throughput that a host may use, relative to an even part; small, because
 * the parts of all hosts may add up to that much more than the whole.
 * @property refreshMillis minimum time between two computations of the share, in milliseconds; updates from peers take longer.
 */
public data class FairShareSettings(
    public val capacityFactor: Double = 1.1,
    public val minHostFraction: Double = 0.25,
    public val refreshMillis: Long = 50,
)
