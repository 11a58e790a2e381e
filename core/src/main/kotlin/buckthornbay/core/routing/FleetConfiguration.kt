package buckthornbay.core.routing

import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId

/** Whether the requests of a route may be repeated. */
public enum class RouteKind {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request may run at most once. */
    NON_IDEMPOTENT,

    /** The response is an event stream; [Route.resumable] defines whether the request may run again. */
    EVENT_STREAM,
}

/**
 * A target service of a route.
 *
 * @property weight weight of the service in traffic splitting, relative to the route's other targets.
 */
public data class RouteTarget(public val service: ServiceId, public val weight: Double)

/**
 * A mapping from a host name and path prefix to target services.
 *
 * @property hostName the value of the `Host` header, in lower case.
 * @property pathPrefix path prefix; starts and ends with a slash.
 * @property timeoutMillis maximum time until the complete response, in milliseconds.
 * @property objectiveMillis latency objective of a response, in milliseconds; null if there is none.
 * @property maxAttempts maximum number of upstreams that one request may be sent to.
 * @property public whether callers may omit the key.
 * @property prefixAffinity whether requests declare the shared prefixes of their prompts.
 * @property resumable whether another upstream may resume an interrupted stream.
 * @property longestPauseMillis objective for the time between two events of a stream, in milliseconds; null if there is none.
 * @property priority priority of the route; 0 is the highest.
 * @property homeRegions the only regions in which its requests may be served, cached and stored; empty if any may.
 */
public data class Route(
    public val name: String,
    public val hostName: String,
    public val pathPrefix: String,
    public val kind: RouteKind,
    public val targets: List<RouteTarget>,
    public val timeoutMillis: Long,
    public val objectiveMillis: Long?,
    public val maxAttempts: Int,
    public val public: Boolean,
    public val prefixAffinity: Boolean,
    public val resumable: Boolean,
    public val longestPauseMillis: Long?,
    public val priority: Int,
    public val homeRegions: Set<RegionId> = emptySet(),
) {
    /** Whether a request may be retried after an attempt that may have run. */
    public val repeatable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.EVENT_STREAM && resumable)
}

/**
 * The capacity of each model engine of a service.
 *
 * @property slots maximum number of concurrent requests of one engine.
 * @property cacheTokens capacity of one engine's key-value cache, in prompt and output tokens.
 */
public data class EngineCapacity(public val slots: Int, public val cacheTokens: Long)

/**
 * A service in the fleet configuration.
 *
 * @property maxConnections maximum number of connections that one upstream accepts from all hosts together.
 * @property engine capacity of the service's model engines; null for a plain service.
 * @property coldRequestsPerSecond requests per second that a cold upstream takes from all hosts together; null if it takes any.
 */
public data class ServiceSpec(
    public val id: ServiceId,
    public val maxConnections: Int,
    public val engine: EngineCapacity?,
    public val coldRequestsPerSecond: Double? = null,
)

/**
 * Limits on the requests and connections of callers.
 *
 * @property headerTimeoutMillis maximum time for receiving a complete request head, in milliseconds.
 * @property idleTimeoutMillis maximum idle time of a connection, in milliseconds.
 */
public data class CallerLimits(
    public val maxHeaderBytes: Int = 16_384,
    public val maxBodyBytes: Int = 4_194_304,
    public val headerTimeoutMillis: Long = 3_000,
    public val idleTimeoutMillis: Long = 15_000,
)

/**
 * A workspace with the API keys of its callers.
 *
 * @property homeRegions the only regions in which its requests may be served, cached and stored; empty if any may.
 */
public data class WorkspaceKeys(
    public val id: WorkspaceId,
    public val keys: Set<String>,
    public val priority: Int,
    public val homeRegions: Set<RegionId> = emptySet(),
)

/**
 * Returns the regions in which a request of [route] and [workspace] may be served, or null if any may.
 *
 * Where both have home regions, both bind; the result may then be empty, so that no upstream may serve the request.
 */
public fun homeRegionsOf(route: Route, workspace: WorkspaceKeys?): Set<RegionId>? {
    val bounds = listOfNotNull(route.homeRegions, workspace?.homeRegions).filter { it.isNotEmpty() }
    return if (bounds.isEmpty()) null else bounds.reduce { first, second -> first intersect second }
}

/**
 * One version of the fleet configuration.
 *
 * @property version increases with each change; a host never returns to a lower version.
 * @property tokensPerSecond total throughput of all engines, where each output token counts twice; null if it is unknown.
 */
public data class FleetConfiguration(
    public val version: Long,
    public val routes: List<Route>,
    public val services: List<ServiceSpec>,
    public val limits: CallerLimits,
    public val workspaces: List<WorkspaceKeys>,
    public val tokensPerSecond: Double?,
)
