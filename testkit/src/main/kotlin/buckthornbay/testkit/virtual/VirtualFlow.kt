package buckthornbay.testkit.virtual

import buckthornbay.protocol.PoolId
import buckthornbay.protocol.WorkspaceId
import org.HdrHistogram.Histogram

/**
 * Load parameters of one flow, a stream of similar requests in a virtual run.
 *
 * @property long whether the requests are scheduled as long ones.
 * @property minUnits lower bound of the cost of a request, in cost units; costs are uniform between the bounds.
 * @property maxUnits upper bound of the cost of a request, in cost units.
 * @property ratePerSecond mean arrivals per second (Poisson); ignored if [backlog] is set.
 * @property backlog number of requests kept queued or running (closed loop); 0 for arrivals at [ratePerSecond].
 * @property hostWeights relative share of the requests that each host of the pool's region receives, in order of host number;
 * uniform if empty.
 * @property fromMillis time of the first arrivals.
 * @property toMillis time after which no more requests arrive.
 * @property peakFactor multiplier of the rate between [peakFromMillis] and [peakToMillis].
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
    public val peakFactor: Double = 1.0,
    public val peakFromMillis: Long = 0,
    public val peakToMillis: Long = 0,
)

/**
 * A stream of similar requests in a simulation with virtual time ([VirtualRun]), with the counts and response times of these
 * requests.
 */
public class VirtualFlow(public val spec: FlowSpec) {
    /** Service received from all upstreams, in cost units; includes attempts that were cancelled. */
    public var servedUnits: Double = 0.0
        internal set

    /** Number of requests that arrived. */
    public var arrived: Int = 0
        internal set

    /** Number of requests that completed. */
    public var answered: Int = 0
        internal set

    /** Number of requests that were refused without being run. */
    public var refused: Int = 0
        internal set

    /** Number of requests that arrived during the peak. */
    public var peakArrived: Int = 0
        internal set

    /** Number of requests that arrived during the peak and were started before their deadline. */
    public var peakInTime: Int = 0
        internal set

    internal var inProgress = 0

    /** Response times of completed requests, in milliseconds. */
    public val responseMillis: Histogram = Histogram(HIGHEST_MILLIS, DIGITS)

    /** Returns the given [percentile] (0 to 100) of the response time, in milliseconds. */
    public fun percentileMillis(percentile: Double): Long = responseMillis.getValueAtPercentile(percentile)

    private companion object {
        const val HIGHEST_MILLIS = 3_600_000L
        const val DIGITS = 3
    }
}

/** A request of a virtual run; one that is hedged has several attempts. */
public class VirtualRequest internal constructor(
    public val id: String,
    public val flow: VirtualFlow,
    public val units: Double,
    public val arrivedAtMillis: Long,
    internal val hostNumber: Int,
    internal val atPeak: Boolean,
) {
    internal var done = false
    private var started = false

    /** Records that an upstream started to serve the request at [nowMillis]; later calls have no effect. */
    internal fun recordStart(nowMillis: Long) {
        if (started) return
        started = true
        if (atPeak && nowMillis - arrivedAtMillis <= flow.spec.deadlineMillis) flow.peakInTime++
    }
}
