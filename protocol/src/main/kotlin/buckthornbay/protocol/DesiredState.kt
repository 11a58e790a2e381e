package buckthornbay.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The complete configuration of the fleet, applied atomically.
 *
 * Operators write it as TOML, and the platform stores it as a single versioned object.
 *
 * @property workspaces the tenants that share the fleet's capacity.
 * @property services the services that callers can use.
 * @property upstreams the back ends of the services.
 * @property policy fleet-wide limits and targets.
 */
@Serializable
public data class DesiredState(
    public val workspaces: List<Workspace> = emptyList(),
    public val services: List<Service> = emptyList(),
    public val upstreams: List<Upstream> = emptyList(),
    public val policy: FleetPolicy = FleetPolicy(),
)

/**
 * A tenant with a fair share of the fleet's capacity.
 *
 * @property share fair-share weight relative to other workspaces; positive and dimensionless.
 * @property partner the joint venture partner that owns the workspace.
 * @property keyHashes lower-case hexadecimal SHA-256 digests of the workspace's bearer keys.
 * @property maxQueuedRequests maximum queue length of this workspace on one host; further requests are refused.
 */
@Serializable
public data class Workspace(
    public val id: WorkspaceId,
    public val partner: String,
    public val share: Double,
    public val keyHashes: List<String>,
    public val maxQueuedRequests: Int = 1_000,
)

/** The protocol between callers and the upstreams of a service. */
@Serializable
public enum class ServiceKind {
    /** A model engine: JSON completions, optionally streamed as server-sent events. */
    @SerialName("model")
    MODEL,

    /** A plain HTTP service, proxied unchanged. */
    @SerialName("plain")
    PLAIN,
}

/**
 * A service that callers can use.
 *
 * @property pathPrefix the path prefix that selects a plain service; model services are selected by model name.
 * @property classes latency classes; the first one is the default.
 * @property cost weights for computing the cost of completed work.
 * @property unrepeatable calls that may run at most once, each as `METHOD /path-prefix`.
 * @property crossRegion whether requests may spill over to another region's upstreams when the local region is full.
 */
@Serializable
public data class Service(
    public val id: ServiceId,
    public val kind: ServiceKind,
    public val pathPrefix: String? = null,
    public val classes: List<LatencyClass>,
    public val cost: CostModel = CostModel(),
    public val unrepeatable: List<String> = emptyList(),
    public val crossRegion: Boolean = false,
)

/**
 * A class of requests of one service that share a deadline.
 *
 * @property deadlineMillis maximum time from arrival to the first byte of the response, in milliseconds.
 * @property estimatedCostUnits initial estimate of the cost of one request, used until costs have been measured.
 * @property long whether requests of this class run many times longer than those of other classes.
 */
@Serializable
public data class LatencyClass(
    public val id: String,
    public val deadlineMillis: Long,
    public val estimatedCostUnits: Double,
    public val long: Boolean = false,
)

/**
 * Weights that convert completed work into cost units.
 *
 * @property inputTokenUnits cost units per prompt token.
 * @property outputTokenUnits cost units per generated token.
 * @property serviceSecondUnits cost units per second of service time of a plain request.
 */
@Serializable
public data class CostModel(
    public val inputTokenUnits: Double = 0.1,
    public val outputTokenUnits: Double = 1.0,
    public val serviceSecondUnits: Double = 100.0,
)

/**
 * A back end of one service.
 *
 * @property url base URL, such as `http://127.0.0.1:9000`.
 * @property slots maximum number of concurrent requests that it serves without degradation.
 * @property models names of the models that it has loaded.
 * @property adapters names of the adapters that it has loaded.
 * @property checksFencing whether it rejects requests with a stale fencing token.
 * @property leaving whether it must not receive new requests.
 */
@Serializable
public data class Upstream(
    public val id: UpstreamId,
    public val service: ServiceId,
    public val region: RegionId,
    public val zone: ZoneId,
    public val url: String,
    public val slots: Int,
    public val models: List<String> = emptyList(),
    public val adapters: List<String> = emptyList(),
    public val checksFencing: Boolean = false,
    public val leaving: Boolean = false,
) {
    /** The pool that this upstream belongs to. */
    public val pool: PoolId get() = PoolId(service, region)
}

/**
 * Fleet-wide limits and targets.
 *
 * @property longShare fraction of a pool's slots that long classes may occupy while short requests arrive, from 0 to 1.
 * @property retryBudget maximum fraction of requests that are retried, from 0 to 1.
 * @property hedgeBudget maximum fraction of requests that are hedged, from 0 to 1.
 * @property addressTtlMillis how long callers may cache an address, in milliseconds.
 * @property controlBytesPerSecond maximum control traffic that one host may send, in bytes per second.
 */
@Serializable
public data class FleetPolicy(
    public val longShare: Double = 0.5,
    public val retryBudget: Double = 0.1,
    public val hedgeBudget: Double = 0.05,
    public val addressTtlMillis: Long = 10_000,
    public val controlBytesPerSecond: Long = 4_096,
)

/**
 * The desired state with the version that the platform assigned to it.
 *
 * @property version version assigned by the platform; a higher version replaces a lower one.
 * @property applyId identifies the `apply` run that wrote this version. If the reply to the write is lost, the writer reads the
 * state back and compares this id to find out whether the write succeeded.
 */
@Serializable
public data class VersionedState(public val version: Long, public val applyId: String, public val state: DesiredState)
