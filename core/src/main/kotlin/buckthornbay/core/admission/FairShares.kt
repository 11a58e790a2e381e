package buckthornbay.core.admission

import buckthornbay.protocol.WorkspaceId

/**
 * Tells requests within their workspace's share from those beyond it.
 *
 * It answers workspaces that ask for many times their usual: the throughput of all engines is divided by max-min fairness
 * over what the workspaces ask for on all hosts, and each host gives a workspace its part of that. Requests within the share
 * go first; those beyond it use what is left.
 *
 * @param asked what workspaces ask for, on all hosts.
 */
public class FairShares(private val asked: FleetAccounts, private val settings: FairShareSettings = FairShareSettings()) {
    private class Bucket(var tokens: Double, var asOfMillis: Long)

    private val buckets = HashMap<WorkspaceId, Bucket>()
    private var level = Double.MAX_VALUE
    private var levelAtMillis = Long.MIN_VALUE / 2

    /** What all engines produce together, in tokens a second; null where it is not known and no share is limited. */
    public var tokensPerSecond: Double? = null

    /** Notes that [workspace] asks for [tokens], and returns whether that is within its share. */
    public fun tryAcquire(nowMillis: Long, workspace: WorkspaceId, tokens: Double): Boolean {
        asked.charge(nowMillis, workspace, tokens)
        refreshLevel(nowMillis)
        if (asked.tokensPerSecond(nowMillis, workspace) <= level) {
            buckets.remove(workspace)
            return true
        }
        val bucket = refill(nowMillis, workspace)
        if (bucket.tokens <= 0) return false
        bucket.tokens -= tokens
        return true
    }

    /** Returns the most tokens a second that a workspace is due now; null while all can have what they ask for. */
    public fun shareTokensPerSecond(nowMillis: Long): Double? {
        refreshLevel(nowMillis)
        return level.takeIf { it < Double.MAX_VALUE }
    }

    /** Returns what [workspace] asks for on all hosts, in tokens a second. */
    public fun askedTokensPerSecond(nowMillis: Long, workspace: WorkspaceId): Double = asked.tokensPerSecond(nowMillis, workspace)

    private fun refill(nowMillis: Long, workspace: WorkspaceId): Bucket {
        val rate = level * asked.ownPart(nowMillis, workspace)
        val capacity = rate * settings.burstSeconds
        val bucket = buckets.getOrPut(workspace) { Bucket(capacity * settings.firstBurst, nowMillis) }
        val earned = rate * (nowMillis - bucket.asOfMillis) / MILLIS_PER_SECOND
        bucket.tokens = minOf(bucket.tokens + earned, capacity)
        bucket.asOfMillis = nowMillis
        return bucket
    }

    private fun refreshLevel(nowMillis: Long) {
        if (nowMillis - levelAtMillis < settings.levelMillis) return
        levelAtMillis = nowMillis
        val capacity = tokensPerSecond
        val rates = asked.workspaces.map { asked.tokensPerSecond(nowMillis, it) }
        level = if (capacity == null) Double.MAX_VALUE else maxMinLevel(rates, capacity * settings.usedPart)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * Returns the level at which demands are cut so that their sum is [capacity]; no limit where the sum is lower anyway.
 *
 * ```kotlin
 * maxMinLevel(listOf(10.0, 50.0, 90.0), capacity = 90.0) // 40.0: 10 + 40 + 40
 * ```
 */
public fun maxMinLevel(demands: List<Double>, capacity: Double): Double {
    if (demands.sum() <= capacity) return Double.MAX_VALUE
    var left = capacity
    val rising = demands.sorted()
    rising.forEachIndexed { index, demand ->
        val even = left / (rising.size - index)
        if (demand >= even) return even
        left -= demand
    }
    return Double.MAX_VALUE
}

/**
 * Constants of [FairShares].
 *
 * @property usedPart part of the engines' throughput that is shared out.
 * @property burstSeconds time for which a workspace's unused share is kept, in seconds; shares are counted over four.
 * @property firstBurst part of that which a workspace has when it begins to ask for more than its share; it had most of it
 * before.
 * @property levelMillis least time between two divisions, in milliseconds; news from peers take longer.
 */
public data class FairShareSettings(
    public val usedPart: Double = 1.1,
    public val burstSeconds: Double = 1.5,
    public val firstBurst: Double = 0.25,
    public val levelMillis: Long = 50,
)
