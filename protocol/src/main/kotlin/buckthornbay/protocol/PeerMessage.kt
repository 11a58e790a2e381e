package buckthornbay.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The JSON format of data exchanged between processes; ignores unknown fields so that different versions interoperate. */
public val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = false
        classDiscriminator = "type"
    }

/**
 * A message from one router to another.
 *
 * Messages carry absolute or cumulative values instead of deltas, so loss, duplication and reordering are harmless.
 */
@Serializable
public sealed interface PeerMessage

/**
 * A batch of messages from one host to another.
 *
 * @property from the sender.
 * @property incarnation incarnation number of the sender; a higher one means that the sender restarted.
 * @property sequence sequence number that increases with each envelope of this incarnation.
 */
@Serializable
public data class PeerEnvelope(
    @SerialName("f") public val from: HostId,
    @SerialName("i") public val incarnation: Long,
    @SerialName("q") public val sequence: Long,
    @SerialName("m") public val messages: List<PeerMessage>,
)

/** The status of a fleet member. */
@Serializable
public enum class MemberStatus {
    /** The member answers heartbeats. */
    @SerialName("a")
    ALIVE,

    /** The member missed a heartbeat; it can still refute the suspicion. */
    @SerialName("s")
    SUSPECT,

    /** The member is shutting down: it completes its requests and accepts no new ones. */
    @SerialName("l")
    LEAVING,

    /** The member is considered failed or has left. */
    @SerialName("d")
    DEAD,
}

/**
 * The membership record of one host.
 *
 * @property url base URL for callers and peers.
 * @property incarnation incarnation number; increases when the process restarts and when it refutes a suspicion.
 */
@Serializable
public data class Member(
    @SerialName("h") public val host: HostId,
    @SerialName("u") public val url: String,
    @SerialName("r") public val region: RegionId,
    @SerialName("z") public val zone: ZoneId,
    @SerialName("i") public val incarnation: Long,
    @SerialName("s") public val status: MemberStatus = MemberStatus.ALIVE,
)

/**
 * A heartbeat that also gossips recent membership changes.
 *
 * @property sender the sender's own membership record.
 * @property members a bounded number of membership records, recently changed ones first.
 * @property stateVersion the version of the desired state that the sender currently uses.
 * @property loadPermille load of the sender, in thousandths of its capacity.
 * @property reply whether this heartbeat answers another one and expects no reply.
 */
@Serializable
@SerialName("hb")
public data class Heartbeat(
    @SerialName("s") public val sender: Member,
    @SerialName("m") public val members: List<Member> = emptyList(),
    @SerialName("v") public val stateVersion: Long = 0,
    @SerialName("l") public val loadPermille: Int = 0,
    @SerialName("a") public val reply: Boolean = false,
) : PeerMessage

/**
 * The demand and cumulative usage of one host in one pool.
 *
 * @property version version that increases with each report of this incarnation.
 * @property epoch epoch of the latest allocation that the host has applied.
 * @property allocationVersion version of the allocation that the host currently applies.
 * @property workspaces one entry per workspace that has requests or has changed.
 * @property upstreams usage of each upstream that the host has used.
 * @property includesHistory whether the workspace entries include the accounting of an earlier owner, for a new owner that lacks
 * it.
 */
@Serializable
@SerialName("dr")
public data class DemandReport(
    @SerialName("p") public val pool: PoolId,
    @SerialName("h") public val host: HostId,
    @SerialName("i") public val incarnation: Long,
    @SerialName("v") public val version: Long,
    @SerialName("e") public val epoch: Long = 0,
    @SerialName("a") public val allocationVersion: Long = 0,
    @SerialName("w") public val workspaces: List<WorkspaceDemand> = emptyList(),
    @SerialName("u") public val upstreams: List<UpstreamUse> = emptyList(),
    @SerialName("f") public val includesHistory: Boolean = false,
) : PeerMessage

/**
 * The demand and usage of one workspace in a [DemandReport].
 *
 * @property servedUnits cumulative service since the reporter started, including running requests, in cost units.
 * @property acknowledgedUnits the part of [servedUnits] that [normalizedUnits] already includes; set only if the report includes
 * history.
 * @property normalizedUnits normalized service of this workspace as computed by an earlier owner, in cost units per share; set
 * only if the report includes history.
 * @property queuedShort number of queued short requests.
 * @property queuedLong number of queued long requests.
 * @property running number of running requests, including long ones.
 * @property runningLong number of running long requests.
 * @property oldestWaitMillis waiting time of the oldest queued request, in milliseconds.
 */
@Serializable
public data class WorkspaceDemand(
    @SerialName("w") public val workspace: WorkspaceId,
    @SerialName("c") public val servedUnits: Double = 0.0,
    @SerialName("k") public val acknowledgedUnits: Double = 0.0,
    @SerialName("n") public val normalizedUnits: Double = 0.0,
    @SerialName("s") public val queuedShort: Int = 0,
    @SerialName("l") public val queuedLong: Int = 0,
    @SerialName("r") public val running: Int = 0,
    @SerialName("g") public val runningLong: Int = 0,
    @SerialName("o") public val oldestWaitMillis: Long = 0,
)

/**
 * The usage of one upstream in a [DemandReport].
 *
 * @property inUse number of requests that the reporter currently runs on the upstream.
 * @property longInUse number of those requests that belong to a long class.
 * @property busyMillis cumulative running time of requests on the upstream, in request-milliseconds.
 * @property progressUnits cumulative progress of requests on the upstream, in cost units.
 * @property failures cumulative number of failed attempts on the upstream.
 */
@Serializable
public data class UpstreamUse(
    @SerialName("u") public val upstream: UpstreamId,
    @SerialName("n") public val inUse: Int = 0,
    @SerialName("l") public val longInUse: Int = 0,
    @SerialName("b") public val busyMillis: Long = 0,
    @SerialName("g") public val progressUnits: Double = 0.0,
    @SerialName("f") public val failures: Long = 0,
)

/**
 * A lease on slots of one pool for one host, with the order in which the host serves its workspaces.
 *
 * The allocation with the highest ([epoch], [version]) replaces all earlier ones.
 *
 * @property epoch fencing token of the owner; a higher epoch replaces all allocations of a lower one.
 * @property validForMillis duration of the lease from its arrival, in milliseconds.
 * @property contended whether requests are queued anywhere in the pool.
 * @property longSlots maximum number of long requests that the host may run concurrently in this pool.
 * @property reportVersion version of the host's latest report that the allocation accounts for.
 * @property wantsHistory whether the owner requests a report that includes history, because it lacks the host's earlier
 * accounting.
 */
@Serializable
@SerialName("al")
public data class Allocation(
    @SerialName("p") public val pool: PoolId,
    @SerialName("h") public val host: HostId,
    @SerialName("o") public val owner: HostId,
    @SerialName("e") public val epoch: Long,
    @SerialName("v") public val version: Long,
    @SerialName("t") public val validForMillis: Long,
    @SerialName("c") public val contended: Boolean = false,
    @SerialName("l") public val longSlots: Int = Int.MAX_VALUE,
    @SerialName("s") public val slots: List<SlotGrant> = emptyList(),
    @SerialName("n") public val order: List<WorkspaceOrder> = emptyList(),
    @SerialName("r") public val reportVersion: Long = 0,
    @SerialName("f") public val wantsHistory: Boolean = false,
) : PeerMessage

/**
 * The slots of one upstream in an [Allocation].
 *
 * @property probeOnly whether the upstream is ejected as an outlier because it is slow; its slots may then only be used for
 * duplicate requests that probe it.
 */
@Serializable
public data class SlotGrant(
    @SerialName("u") public val upstream: UpstreamId,
    @SerialName("n") public val slots: Int,
    @SerialName("p") public val probeOnly: Boolean = false,
)

/**
 * The position of one workspace in the fair-share order.
 *
 * @property normalizedUnits service received across the fleet, in cost units per share; the workspace with the lowest value is
 * served next. It includes the host's own service up to [Allocation.reportVersion].
 */
@Serializable
public data class WorkspaceOrder(
    @SerialName("w") public val workspace: WorkspaceId,
    @SerialName("n") public val normalizedUnits: Double,
)

/**
 * The cumulative service of one pool by workspace, sent to the owners of the other pools.
 *
 * @property incarnation changes when the totals restart from zero.
 */
@Serializable
@SerialName("st")
public data class ServiceTotals(
    @SerialName("p") public val pool: PoolId,
    @SerialName("o") public val owner: HostId,
    @SerialName("i") public val incarnation: Long,
    @SerialName("v") public val version: Long,
    @SerialName("w") public val totals: List<WorkspaceTotal>,
) : PeerMessage

/** The entry of one workspace in [ServiceTotals]; [servedUnits] is cumulative, in cost units. */
@Serializable
public data class WorkspaceTotal(
    @SerialName("w") public val workspace: WorkspaceId,
    @SerialName("c") public val servedUnits: Double,
)
