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

/** The host name that all routes of [buildManifest] have. */
public const val STAND_IN_HOST_NAME: String = "a.example"

/** What a route's requests may do, as the manifest spells it. */
public enum class StandInRouteKind(internal val type: String) {
    /** May run more than once. */
    REPEATABLE("safe"),

    /** May run once only. */
    ONCE("unsafe"),

    /** Answers with a stream of events. */
    STREAM("stream"),
}

/**
 * One route of a manifest.
 *
 * @property attempts upstreams that one request may be offered to.
 * @property resumable whether a broken stream may go on at another upstream.
 */
public data class StandInRoute(
    public val name: String,
    public val pathPrefix: String,
    public val kind: StandInRouteKind,
    public val service: String,
    public val attempts: Int,
    public val resumable: Boolean = false,
    public val timeoutMillis: Long = 2_000,
    public val targetMillis: Long = 300,
)

/** Collects what a manifest says; see [buildManifest]. */
public class ManifestBuilder internal constructor(private val version: Int) {
    private val routes = ArrayList<StandInRoute>()
    private val plainServices = ArrayList<String>()
    private val engineServices = ArrayList<String>()
    private val workspaces = LinkedHashMap<String, List<String>>()

    /** Longest body of a request in bytes; 10,000 unless set. */
    public var maxBodyBytes: Int = 10_000

    /** How long a request's head may take, in milliseconds; 400 unless set. */
    public var headTimeoutMillis: Long = 400

    /** How long a connection may be idle, in milliseconds; 1,500 unless set. */
    public var idleTimeoutMillis: Long = 1_500

    /** Tokens a second that the fleet shares out; 100,000 unless set. */
    public var tokensPerSecond: Int = 100_000

    /** Adds a route. */
    public fun route(route: StandInRoute) {
        routes += route
    }

    /** Adds a service of plain upstreams. */
    public fun plainService(name: String) {
        plainServices += name
    }

    /** Adds a service of engines with 8 slots each. */
    public fun engineService(name: String) {
        engineServices += name
    }

    /** Adds a workspace with its keys. */
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
            put("MaxHeaderBytes", MAX_HEAD_BYTES)
            put("MaxBodyBytes", maxBodyBytes)
            put("HeaderTimeoutMs", headTimeoutMillis)
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
        put("GoalMs", route.targetMillis)
        put("Priority", 1)
        put("Backend", route.service)
        put("Attempts", route.attempts)
        put("Public", false)
        if (route.kind != StandInRouteKind.STREAM) return
        put("Affinity", true)
        put("Resumable", route.resumable)
        put("GapAimMs", STREAM_GAP_MILLIS)
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
        const val MAX_HEAD_BYTES = 16_384
        const val MAX_CONNECTIONS = 100
        const val STREAM_GAP_MILLIS = 300
    }
}

/**
 * Builds a manifest as the platform's operator writes it.
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
 * Builds the entry that an upstream of [service] at [address] keeps in the store.
 *
 * @param state `ready` or `draining`.
 * @param sequence counts the upstream's writes, so that one done late is told from a newer one.
 */
public fun buildRegistration(service: String, address: String, state: String = "ready", sequence: Int = 1): JsonElement =
    buildJsonObject {
        put("Backend", service)
        put("Address", address)
        put("Zone", "zone")
        put("Version", "v1")
        put("Slots", REGISTERED_SLOTS)
        put("State", state)
        put("ColdLeftMs", 0)
        put("Seq", sequence)
        put("born", BORN_MILLIS)
    }

/** Writes a caller's request for [target] with the headers that every caller of the platform sends, and [more]. */
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

/** The header by which a caller tells how many tokens it expects, for [callerRequest]. */
public fun tokenCountHeader(promptTokens: Int, answerTokens: Int): String =
    "X-Buckthornbay-Token-Count: $promptTokens,$answerTokens\r\n"

private const val REGISTERED_SLOTS = 8
private const val BORN_MILLIS = 1_000L
