package buckthornbay.testkit.virtual

import buckthornbay.protocol.PoolId
import buckthornbay.protocol.UpstreamId

/** A way to decide which request runs where; buckthornbay's routers are one, the baselines are others. */
public interface Scheduling {
    /** The name in tables. */
    public val name: String

    /** Connects the scheduling with the run that it decides for. */
    public fun attach(run: VirtualRun)

    /** Takes in a request that arrived at the host with [VirtualRequest.hostNumber]. */
    public fun arrive(request: VirtualRequest)

    /** Learns that the attempt [attemptId] has been served [servedUnits] cost units so far. */
    public fun progress(request: VirtualRequest, attemptId: String, servedUnits: Double)

    /** Learns that the attempt [attemptId] at [upstream] ended after [servedUnits] cost units. */
    public fun ended(request: VirtualRequest, attemptId: String, upstream: UpstreamId, servedUnits: Double)

    /** Requests that wait for a slot of [pool]. */
    public fun waitingCount(pool: PoolId): Int

    /** Control bytes sent so far by the host that sent most, 0 where there is no control traffic. */
    public fun controlBytes(): Long = 0
}
