package buckthornbay.core.routing

import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId

/** What a caller may assume about repeating a request. */
public enum class RouteKind {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request may run once at most. */
    NON_IDEMPOTENT,

    /** The answer is a stream of events; whether it may be run again is told by [Route.resumable]. */
    EVENT_STREAM,
}

/**
 * A service that a route leads to.
 *
 * @property weight the part of the route's requests that the service gets, relative to the other targets.
 */
public data class RouteTarget(public val service: ServiceId, public val weight: Double)

/**
 * One way from a host name and path to services.
 *
 * @property hostName the value of the `Host` header, in lower case.
 * @property pathPrefix the beginning of the path; it begins and ends with a slash.
 * @property timeoutMillis longest time that a request may wait for its whole answer, in milliseconds.
 * @property objectiveMillis time within which an answer is on time, in milliseconds; null where none is set.
 * @property maxAttempts most upstreams that one request may be sent to.
 * @property public whether callers need no key.
 * @property prefixAffinity whether requests name the shared parts of their prompt.
 * @property resumable whether a stream that broke may go on at another upstream.
 * @property longestPauseMillis longest pause between two events of a stream that is on time, in milliseconds.
 * @property priority rank of the route; 0 is the highest.
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
) {
    /** Whether a request of this route may be run again after it may have run. */
    public val repeatable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.EVENT_STREAM && resumable)
}

/**
 * What the model engines of a service can hold at once.
 *
 * @property slots requests that one engine runs at once.
 * @property cacheTokens tokens of prompts and answers that one engine keeps.
 */
public data class EngineCapacity(public val slots: Int, public val cacheTokens: Long)

/**
 * A service of the fleet's configuration.
 *
 * @property maxConnections connections that one upstream accepts from all hosts together.
 * @property engine what its engines hold; null for a plain service.
 */
public data class ServiceSpec(public val id: ServiceId, public val maxConnections: Int, public val engine: EngineCapacity?)

/**
 * Bounds on what callers may send.
 *
 * @property headerTimeoutMillis time in which a whole request head must arrive, in milliseconds.
 * @property idleTimeoutMillis time for which a connection may stay unused, in milliseconds.
 */
public data class CallerLimits(
    public val maxHeaderBytes: Int = 16_384,
    public val maxBodyBytes: Int = 4_194_304,
    public val headerTimeoutMillis: Long = 3_000,
    public val idleTimeoutMillis: Long = 15_000,
)

/** A workspace with the keys that its callers may show. */
public data class WorkspaceKeys(public val id: WorkspaceId, public val keys: Set<String>, public val priority: Int)

/**
 * One version of what the operator wants: routes, services, workspaces and limits.
 *
 * @property version rises with each change; a host never goes back to a lower one.
 * @property tokensPerSecond what all engines together produce, an output token counted twice; null where it isn't told.
 */
public data class FleetConfiguration(
    public val version: Long,
    public val routes: List<Route>,
    public val services: List<ServiceSpec>,
    public val limits: CallerLimits,
    public val workspaces: List<WorkspaceKeys>,
    public val tokensPerSecond: Double?,
)
