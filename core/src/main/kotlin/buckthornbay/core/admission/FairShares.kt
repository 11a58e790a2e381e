package buckthornbay.core.admission

import buckthornbay.core.load.DemandSegment
import buckthornbay.protocol.WorkspaceId

/**
 * The fair shares of workspaces: the throughput of all engines, divided by max-min fairness.
 *
 * The shares follow from the demand of the workspaces on all hosts, so that a workspace whose demand suddenly multiplies does
 * not displace the others. Each host grants a workspace the fraction of its share that corresponds to the host's fraction of
 * the workspace's demand, enforced by a token bucket. Requests within the share are served first; the others use the remaining
 * capacity.
 *
 * @param fleetDemand demand of the workspaces on all hosts.
 * @param hosts live hosts of the fleet.
 */
public class FairShares(
    private val fleetDemand: FleetAccounts,
    private val hosts: HostOrder,
    private val settings: FairShareSettings = FairShareSettings(),
) {
    private class Bucket(var tokens: Double, var asOfMillis: Long)

    /** What all workspaces are owed, and the throughput that nobody demands, in tokens per second. */
    private class Division(val owedByAll: Double, val spare: Double) {
        /** Returns the part of the whole for hosts that are [owed] tokens per second and [evenFraction] of the spare. */
        fun fractionOf(owed: Double, evenFraction: Double): Double = (owed + spare * evenFraction) / (owedByAll + spare)
    }

    private val buckets = HashMap<WorkspaceId, Bucket>()
    private var fairShare = Double.MAX_VALUE
    private var hostFraction = 0.0
    private var division: Division? = null
    private var rates = emptyMap<WorkspaceId, Double>()
    private var fairShareAtMillis = Long.MIN_VALUE / 2

    /** Total throughput of all engines, in tokens per second; null if unknown, in which case shares are unlimited. */
    public var tokensPerSecond: Double? = null

    /** Records a demand of [workspace] for [tokens] that takes nothing from its share. */
    public fun recordDemand(nowMillis: Long, workspace: WorkspaceId, tokens: Double) {
        fleetDemand.charge(nowMillis, workspace, tokens)
    }

    /** Records a demand of [workspace] for [tokens] and returns whether it is within the workspace's fair share. */
    public fun tryAcquire(nowMillis: Long, workspace: WorkspaceId, tokens: Double): Boolean {
        recordDemand(nowMillis, workspace, tokens)
        refreshFairShare(nowMillis)
        if (fleetDemand.tokensPerSecond(nowMillis, workspace) <= fairShare) {
            buckets.remove(workspace)
            return true
        }
        val bucket = refill(nowMillis, workspace)
        if (bucket.tokens <= 0) return false
        bucket.tokens -= tokens
        return true
    }

    /** Gives back [tokens] that [tryAcquire] took from the share of [workspace]. */
    public fun release(nowMillis: Long, workspace: WorkspaceId, tokens: Double) {
        if (workspace in buckets) refill(nowMillis, workspace).tokens += tokens
    }

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

    /** Returns the demand of [workspace] on all hosts, in tokens per second. */
    public fun demandTokensPerSecond(nowMillis: Long, workspace: WorkspaceId): Double =
        fleetDemand.tokensPerSecond(nowMillis, workspace)

    private fun refill(nowMillis: Long, workspace: WorkspaceId): Bucket {
        val rate = fairShare * fleetDemand.ownFraction(nowMillis, workspace)
        val capacity = rate * settings.burstSeconds
        val bucket = buckets.getOrPut(workspace) { Bucket(capacity * settings.initialBurstFraction, nowMillis) }
        val refilled = rate * (nowMillis - bucket.asOfMillis) / MILLIS_PER_SECOND
        bucket.tokens = minOf(bucket.tokens + refilled, capacity)
        bucket.asOfMillis = nowMillis
        return bucket
    }

    private fun refreshFairShare(nowMillis: Long) {
        if (nowMillis - fairShareAtMillis < settings.refreshMillis) return
        fairShareAtMillis = nowMillis
        val capacity = tokensPerSecond
        rates = fleetDemand.workspaces.associateWith { fleetDemand.tokensPerSecond(nowMillis, it) }
        fairShare =
            if (capacity == null) Double.MAX_VALUE else maxMinShare(rates.values.toList(), capacity * settings.capacityFactor)
        division = capacity?.let {
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

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
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
 * @property burstSeconds capacity of a token bucket, in seconds of the workspace's share; shares are measured over four seconds.
 * @property initialBurstFraction initial fill level of a token bucket, when a workspace first exceeds its share; it has used
 * most of its burst by then.
 * @property minHostFraction least part of the engines' throughput that a host may use, relative to an even part; small, because
 * the parts of all hosts may add up to that much more than the whole.
 * @property refreshMillis minimum time between two computations of the share, in milliseconds; updates from peers take longer.
 */
public data class FairShareSettings(
    public val capacityFactor: Double = 1.1,
    public val burstSeconds: Double = 1.5,
    public val initialBurstFraction: Double = 0.25,
    public val minHostFraction: Double = 0.25,
    public val refreshMillis: Long = 50,
)
