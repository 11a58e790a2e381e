package buckthornbay.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The JSON form of everything that crosses a process boundary; unknown fields are ignored so that versions can mix. */
public val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = false
        classDiscriminator = "type"
    }

/** Something one router tells another; every message states a whole figure, so loss, doubling and reordering do no harm. */
@Serializable
public sealed interface PeerMessage

/**
 * The messages that one host sends another in one exchange.
 *
 * @property from the sender.
 * @property incarnation the sender's start number; a higher one means that it restarted.
 * @property sequence rises with each envelope of this incarnation.
 */
@Serializable
public data class PeerEnvelope(
    @SerialName("f") public val from: HostId,
    @SerialName("i") public val incarnation: Long,
    @SerialName("q") public val sequence: Long,
    @SerialName("m") public val messages: List<PeerMessage>,
)

/** What a member of the fleet is known to be. */
@Serializable
public enum class MemberStatus {
    /** It answers heartbeats. */
    @SerialName("a")
    ALIVE,

    /** It missed a heartbeat and can still refute that. */
    @SerialName("s")
    SUSPECT,

    /** It shuts down: it finishes its requests and takes no new ones. */
    @SerialName("l")
    LEAVING,

    /** It is gone. */
    @SerialName("d")
    DEAD,
}

/**
 * One member as its peers know it.
 *
 * @property url base address for callers and peers.
 * @property incarnation start number of the process, raised also to refute a suspicion.
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
 * A heartbeat with the most recent changes of membership.
 *
 * @property sender the sending member as it knows itself.
 * @property members a bounded number of recently changed members.
 * @property stateVersion the version of the desired state that is in force at the sender.
 * @property loadPermille busy part of the sender, in thousandths.
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
 * What one host wants from and has done with one pool, as cumulative figures.
 *
 * @property version rises with each report of this incarnation.
 * @property allocationVersion the last allocation that the host obeys.
 * @property workspaces one entry for each workspace that has work or has changed.
 * @property upstreams what the host saw of each upstream that it used.
 * @property includesHistory whether the workspaces' entries tell what an earlier owner counted, for an owner that does not know.
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
 * One workspace's figures in a [DemandReport].
 *
 * @property servedUnits cumulative service since the reporter started, in cost units, running requests included.
 * @property acknowledgedUnits the part of [servedUnits] that [normalizedUnits] already counts; told where the report recalls.
 * @property normalizedUnits an earlier owner's figure for this workspace, in cost units a share; told where the report recalls.
 * @property queuedShort short requests that wait.
 * @property queuedLong long requests that wait.
 * @property running requests that run, long ones included.
 * @property runningLong long requests that run.
 * @property oldestWaitMillis how long the oldest of them has waited, in milliseconds.
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
 * One upstream's figures in a [DemandReport].
 *
 * @property inUse requests that the reporter runs there now.
 * @property longInUse those of them that are of a long class.
 * @property busyMillis cumulative time of running requests there, in request-milliseconds.
 * @property progressUnits cumulative progress of requests there, in cost units.
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
 * The slots of one pool that one host may use, and the order in which its workspaces are served.
 *
 * The highest ([epoch], [version]) replaces all earlier ones.
 *
 * @property epoch fencing number of the owner; a higher one replaces all of a lower one.
 * @property validForMillis how long after its arrival the allocation holds, in milliseconds.
 * @property contended whether work waits somewhere in the pool.
 * @property longSlots how many long requests the host may run at once in this pool.
 * @property reportVersion the host's last report that the allocation counts.
 * @property wantsHistory whether the owner asks for a report that recalls, because it does not know the host's past.
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
 * Slots at one upstream in an [Allocation].
 *
 * @property probeOnly whether the upstream is set aside as slow, so that its slots are for copies that probe it.
 */
@Serializable
public data class SlotGrant(
    @SerialName("u") public val upstream: UpstreamId,
    @SerialName("n") public val slots: Int,
    @SerialName("p") public val probeOnly: Boolean = false,
)

/**
 * One workspace's place in the order of service.
 *
 * @property normalizedUnits service received across the fleet, in cost units a share; the least is served next. It counts the
 * host's own service up to the report that the allocation answers.
 */
@Serializable
public data class WorkspaceOrder(
    @SerialName("w") public val workspace: WorkspaceId,
    @SerialName("n") public val normalizedUnits: Double,
)

/**
 * The cumulative service that one pool gave each workspace, told to the owners of the other pools.
 *
 * @property incarnation changes when the totals start again from zero.
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

/** One workspace's entry in [ServiceTotals]; [servedUnits] is cumulative, in cost units. */
@Serializable
public data class WorkspaceTotal(
    @SerialName("w") public val workspace: WorkspaceId,
    @SerialName("c") public val servedUnits: Double,
)
