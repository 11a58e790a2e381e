package buckthornbay.testkit.virtual

import buckthornbay.protocol.PoolId
import buckthornbay.protocol.UpstreamId

/** A scheduling policy under test: decides on which upstream each request of a [VirtualRun] runs, and when. */
public interface Scheduling {
    /** Name of the policy in result tables. */
    public val name: String

    /** Binds this policy to [run]; called once, before the first request arrives. */
    public fun attach(run: VirtualRun)

    /** Handles the arrival of [request] at the host numbered [VirtualRequest.hostNumber]. */
    public fun arrive(request: VirtualRequest)

    /** Reports that the attempt [attemptId] has received [servedUnits] cost units so far. */
    public fun progress(request: VirtualRequest, attemptId: String, servedUnits: Double)

    /** Reports that the attempt [attemptId] at [upstream] completed or was cancelled after [servedUnits] cost units. */
    public fun ended(request: VirtualRequest, attemptId: String, upstream: UpstreamId, servedUnits: Double)

    /** Returns the number of requests that are queued for a slot of [pool]. */
    public fun waitingCount(pool: PoolId): Int

    /** Returns the control bytes sent so far by the host that sent the most; 0 for policies without control traffic. */
    public fun controlBytes(): Long = 0
}
