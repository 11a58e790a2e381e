package buckthornbay.testkit.platform

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Host name of all routes created by [buildManifest]. */
public const val STAND_IN_HOST_NAME: String = "a.example"

/** Request semantics of a route; [type] is the value in the manifest. */
public enum class StandInRouteKind(internal val type: String) {
    /** Requests are idempotent and may run more than once. */
    REPEATABLE("safe"),

    /** Requests must run at most once. */
    ONCE("unsafe"),

    /** Responses are event streams. */
    STREAM("stream"),
}

/**
 * One route of a manifest.
 *
 * @property attempts maximum number of upstreams that are tried for one request.
 * @property resumable whether an interrupted stream may be resumed at another upstream.
 * @property timeoutMillis timeout of a request, in milliseconds.
 * @property objectiveMillis latency objective, in milliseconds.
 * @property homeRegions the only regions in which requests may be served; any if empty.
 */
public data class StandInRoute(
    public val name: String,
    public val pathPrefix: String,
    public val kind: StandInRouteKind,
    public val service: String,
    public val attempts: Int,
    public val resumable: Boolean = false,
    public val timeoutMillis: Long = 2_000,
    public val objectiveMillis: Long = 300,
    public val homeRegions: List<String> = emptyList(),
)

/** Builder of a manifest; see [buildManifest]. */
public class ManifestBuilder internal constructor(private val version: Int) {
    private val routes = ArrayList<StandInRoute>()
    private val plainServices = ArrayList<String>()
    private val engineServices = ArrayList<String>()
    private val workspaces = LinkedHashMap<String, List<String>>()

    /** Maximum size of a request body in bytes; 10,000 by default. */
    public var maxBodyBytes: Int = 10_000

    /** Timeout for receiving the request line and headers of a request, in milliseconds; 400 by default. */
    public var headerTimeoutMillis: Long = 400

    /** Idle timeout of a connection, in milliseconds; 1,500 by default. */
    public var idleTimeoutMillis: Long = 1_500

    /** Tokens per second that the fleet divides among the workspaces; 100,000 by default. */
    public var tokensPerSecond: Int = 100_000

    /** Adds a route. */
    public fun route(route: StandInRoute) {
        routes += route
    }

    /** Adds a service with plain HTTP upstreams. */
    public fun plainService(name: String) {
        plainServices += name
    }

    /** Adds a service with model engines of 8 slots each. */
    public fun engineService(name: String) {
        engineServices += name
    }

    /** Adds a workspace with its API keys. */
    public fun workspace(name: String, vararg keys: String) {
        workspaces[name] = keys.toList()
    }

    internal fun build(): JsonElement = buildJsonObject {
        put("Version", version)
        putJsonArray("Routes") { routes.forEach { route -> addJsonObject { putRoute(route) } } }
        putJsonArray("Services") {
            plainServices.forEach { name -> addJsonObject { putService(name) } }
            engineServices.forEach { name ->
                addJsonObject {
                    putService(name)
                    putJsonObject("Engine") {
                        put("Slots", ENGINE_SLOTS)
                        put("KvCapacity", ENGINE_CACHE_TOKENS)
                    }
                }
            }
        }
        putJsonObject("Limits") {
            put("MaxHeaderBytes", MAX_HEADER_BYTES)
            put("MaxBodyBytes", maxBodyBytes)
            put("HeaderTimeoutMs", headerTimeoutMillis)
            put("IdleTimeoutMs", idleTimeoutMillis)
            put("TokensPerS", tokensPerSecond)
        }
        putJsonArray("Tenants") { workspaces.forEach { (name, keys) -> addJsonObject { putWorkspace(name, keys) } } }
    }

    private fun JsonObjectBuilder.putRoute(route: StandInRoute) {
        put("Name", route.name)
        put("Hostname", STAND_IN_HOST_NAME)
        put("PathPrefix", route.pathPrefix)
        put("Type", route.kind.type)
        put("TimeoutMs", route.timeoutMillis)
        put("GoalMs", route.objectiveMillis)
        put("Priority", 1)
        put("Backend", route.service)
        put("Attempts", route.attempts)
        put("Public", false)
        if (route.homeRegions.isNotEmpty()) put("HomeRegions", buildJsonArray { route.homeRegions.forEach { add(it) } })
        if (route.kind != StandInRouteKind.STREAM) return
        put("Affinity", true)
        put("Resumable", route.resumable)
        put("GapAimMs", LONGEST_PAUSE_MILLIS)
    }

    private fun JsonObjectBuilder.putService(name: String) {
        put("Name", name)
        put("HealthPath", "/healthz")
        put("MaxConns", MAX_CONNECTIONS)
        put("Protocol", "h1")
        put("Tls", false)
    }

    private fun JsonObjectBuilder.putWorkspace(name: String, keys: List<String>) {
        put("Name", name)
        put("ApiKeys", buildJsonArray { keys.forEach { add(it) } })
        put("Priority", 1)
    }

    private companion object {
        const val ENGINE_SLOTS = 8
        const val ENGINE_CACHE_TOKENS = 100_000
        const val MAX_HEADER_BYTES = 16_384
        const val MAX_CONNECTIONS = 100
        const val LONGEST_PAUSE_MILLIS = 300
    }
}

/**
 * Builds a manifest in the platform's format.
 *
 * ```kotlin
 * store.put("config", "main", buildManifest(version = 1) {
 *     plainService("plain")
 *     route(StandInRoute("read", "/read/", StandInRouteKind.REPEATABLE, "plain", attempts = 2))
 *     workspace("growers", "key-1")
 * })
 * ```
 */
public fun buildManifest(version: Int, block: ManifestBuilder.() -> Unit): JsonElement =
    ManifestBuilder(version).apply(block).build()

/**
 * Builds the registration that an upstream of [service] at [address] writes to the store.
 *
 * @param state `ready` or `draining`.
 * @param sequence number of the write, incremented by the upstream, so that a delayed write is recognized as stale.
 * @param startedAtMillis Unix time at which the upstream started, in milliseconds; identifies its incarnation.
 * @param coldLeftMillis time for which the upstream remains cold, in milliseconds.
 * @param softwareVersion version of the upstream's software.
 */
public fun buildRegistration(
    service: String,
    address: String,
    state: String = "ready",
    sequence: Int = 1,
    startedAtMillis: Long = STARTED_AT_MILLIS,
    zone: String = "zone",
    coldLeftMillis: Long = 0,
    softwareVersion: String = "v1",
): JsonElement = buildJsonObject {
    put("Backend", service)
    put("Address", address)
    put("Zone", zone)
    put("Version", softwareVersion)
    put("Slots", REGISTERED_SLOTS)
    put("State", state)
    put("ColdLeftMs", coldLeftMillis)
    put("Seq", sequence)
    put("born", startedAtMillis)
}

/** Formats an HTTP request for [target] with the headers that every caller of the platform sends and the header lines [more]. */
public fun callerRequest(
    target: String,
    id: String,
    key: String,
    method: String = "GET",
    body: String = "",
    remainingMillis: Long = 1_800,
    more: String = "",
): String {
    val length = if (body.isEmpty()) "" else "Content-Length: ${body.length}\r\n"
    return "$method $target HTTP/1.1\r\nHost: $STAND_IN_HOST_NAME\r\nX-Buckthornbay-Attempt-Id: $id\r\n" +
        "X-Buckthornbay-Deadline-Ms: $remainingMillis\r\nAuthorization: Bearer $key\r\n$more$length\r\n$body"
}

/** Formats the header line with the expected numbers of prompt and answer tokens, for [callerRequest]. */
public fun tokenCountHeader(promptTokens: Int, answerTokens: Int): String =
    "X-Buckthornbay-Token-Count: $promptTokens,$answerTokens\r\n"

private const val REGISTERED_SLOTS = 8
private const val STARTED_AT_MILLIS = 1_000L
