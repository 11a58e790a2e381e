package buckthornbay.testkit.virtual

import buckthornbay.protocol.PoolId
import buckthornbay.protocol.WorkspaceId
import org.HdrHistogram.Histogram

/**
 * One kind of request of a virtual run.
 *
 * @property ratePerSecond mean arrivals a second; 0 where [backlog] keeps requests waiting instead.
 * @property backlog how many requests are kept waiting or running at all times.
 * @property hostWeights how the requests spread over the hosts of the pool's region, the first host first; even where empty.
 * @property crestFactor by how much the rate rises between [crestFromMillis] and [crestToMillis].
 */
public data class FlowSpec(
    public val name: String,
    public val workspace: WorkspaceId,
    public val pool: PoolId,
    public val latencyClass: String,
    public val long: Boolean = false,
    public val minUnits: Double,
    public val maxUnits: Double,
    public val ratePerSecond: Double = 0.0,
    public val backlog: Int = 0,
    public val hostWeights: List<Double> = emptyList(),
    public val deadlineMillis: Long = 600_000,
    public val fromMillis: Long = 0,
    public val toMillis: Long = Long.MAX_VALUE,
    public val crestFactor: Double = 1.0,
    public val crestFromMillis: Long = 0,
    public val crestToMillis: Long = 0,
)

/** A flow of a virtual run with what became of its requests. */
public class VirtualFlow(public val spec: FlowSpec) {
    /** Service that upstreams gave this flow, in cost units. */
    public var servedUnits: Double = 0.0
        internal set

    /** Requests that arrived, were answered, and were refused as not run. */
    public var arrived: Int = 0
        internal set
    public var answered: Int = 0
        internal set
    public var refused: Int = 0
        internal set

    /** Requests that arrived at the crest, and those of them whose answer began before their deadline. */
    public var crestArrived: Int = 0
        internal set
    public var crestInTime: Int = 0
        internal set

    internal var inProgress = 0

    /** Whole time of answered requests, in milliseconds. */
    public val wholeMillis: Histogram = Histogram(HIGHEST_MILLIS, DIGITS)

    /** Returns the time that [percentile] of 100 answered requests stayed under, in milliseconds. */
    public fun percentileMillis(percentile: Double): Long = wholeMillis.getValueAtPercentile(percentile)

    private companion object {
        const val HIGHEST_MILLIS = 3_600_000L
        const val DIGITS = 3
    }
}

/** One request of a virtual run. */
public class VirtualRequest internal constructor(
    public val id: String,
    public val flow: VirtualFlow,
    public val units: Double,
    public val arrivedAtMillis: Long,
    internal val hostNumber: Int,
    internal val atCrest: Boolean,
) {
    internal var done = false
    private var begun = false

    /** Notes that an upstream began to answer at [nowMillis]. */
    internal fun began(nowMillis: Long) {
        if (begun) return
        begun = true
        if (atCrest && nowMillis - arrivedAtMillis <= flow.spec.deadlineMillis) flow.crestInTime++
    }
}
