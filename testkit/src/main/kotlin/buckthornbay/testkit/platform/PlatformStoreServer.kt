package buckthornbay.testkit.platform

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/** Faults injected into a [PlatformStoreServer]; they can be switched at any time. */
public class PlatformStoreFaults {
    /** Responds to every request with status 503. */
    @Volatile
    public var busy: Boolean = false

    /** Kinds of objects for which it responds to every request with status 503, also to watches that are already waiting. */
    @Volatile
    public var busyKinds: Set<String> = emptySet()

    /** Addresses at which it responds to every request with status 503, also to watches that are already waiting. */
    @Volatile
    public var busyAddresses: Set<String> = emptySet()

    /** Never responds, not even to watches that are already waiting. */
    @Volatile
    public var silent: Boolean = false

    /** Kinds of objects for which it never responds, not even to watches that are already waiting. */
    @Volatile
    public var silentKinds: Set<String> = emptySet()

    /** Applies writes but never responds to them. */
    @Volatile
    public var losesReplies: Boolean = false

    /** Delay of every response, in milliseconds. */
    @Volatile
    public var delayMillis: Long = 0
}

/**
 * A stand-in for the platform's store on loopback: objects by kind and name, paginated lists, long-polling watches, and a
 * history that can be compacted.
 *
 * ```kotlin
 * PlatformStoreServer().use { store -> store.put("config", "main", manifest) }
 * ```
 *
 * @param addressCount number of addresses to listen on; a router that has one for itself can be told apart from others.
 */
public class PlatformStoreServer(private val pageSize: Int = 500, addressCount: Int = 1) : AutoCloseable {
    /** All objects of a store at one revision. */
    public class StoreCopy internal constructor(
        internal val objects: Map<String, LinkedHashMap<String, Stored>>,
        internal val revision: Long,
    )

    internal class Stored(val spec: JsonElement, val revision: Long)

    private class Event(val revision: Long, val kind: String, val name: String, val stored: Stored?)

    /** Faults to inject; all are off initially. */
    public val faults: PlatformStoreFaults = PlatformStoreFaults()

    private val objects = LinkedHashMap<String, LinkedHashMap<String, Stored>>()
    private val history = ArrayList<Event>()
    private var revision = 1L
    private var oldestRevision = 0L

    @Volatile
    private var era = 1L

    @Volatile
    private var deafBeforeNanos = Long.MIN_VALUE

    @Volatile
    private var calls = 0
    private val watching = ConcurrentHashMap<String, AtomicInteger>()
    private val server: EmbeddedServer<*, *> = embeddedServer(
        Netty,
        configure = {
            repeat(addressCount) {
                connector {
                    host = LOOPBACK
                    port = 0
                }
            }
        },
    ) {
        routing {
            get("/v1/objects/{kind}") { withFaults { if (parameter("Watch") != null) watch() else list() } }
            post("/v1/objects/{kind}") { withFaults { create() } }
            put("/v1/objects/{kind}/{name}") { withFaults { replace() } }
            delete("/v1/objects/{kind}/{name}") { withFaults { delete() } }
        }
    }.start(wait = false)

    /** The listen addresses, as `IP:PORT`. */
    public val addresses: List<String> = runBlocking { server.engine.resolvedConnectors().map { "$LOOPBACK:${it.port}" } }

    /** The first listen address. */
    public val address: String get() = addresses.first()

    /** Addresses at which watches are waiting now. */
    public val watchedAddresses: Set<String> get() = watching.filterValues { it.get() > 0 }.keys.toSet()

    /** Number of requests received so far, including those that a fault failed. */
    public val callCount: Int get() = calls

    /** Creates or replaces an object, as the operator or an upstream does. */
    @Synchronized
    public fun put(kind: String, name: String, spec: JsonElement) {
        revision++
        val stored = Stored(spec, revision)
        objects.getOrPut(kind) { LinkedHashMap() }[name] = stored
        history += Event(revision, kind, name, stored)
    }

    /** Deletes an object. */
    @Synchronized
    public fun remove(kind: String, name: String) {
        revision++
        objects[kind]?.remove(name)
        history += Event(revision, kind, name, null)
    }

    /** Returns the names of the objects of [kind]. */
    @Synchronized
    public fun names(kind: String): Set<String> = objects[kind].orEmpty().keys.toSet()

    /** Returns a copy of all objects, from which the store can be [restore]d. */
    @Synchronized
    public fun copy(): StoreCopy = StoreCopy(objects.mapValues { LinkedHashMap(it.value) }, revision)

    /** Restores the store from [copy]: what was written since is gone, its revisions are given out again, and the era rises. */
    @Synchronized
    public fun restore(copy: StoreCopy) {
        objects.clear()
        copy.objects.forEach { (kind, byName) -> objects[kind] = LinkedHashMap(byName) }
        revision = copy.revision
        history.clear()
        oldestRevision = revision
        era++
    }

    /** Discards the history; watches from an older revision get status 410 and have to list again. */
    @Synchronized
    public fun compact() {
        history.clear()
        oldestRevision = revision
    }

    /** Lets the watches that are waiting now hear of nothing until their wait is over. Later ones hear of all changes. */
    @Synchronized
    public fun deafenWatches() {
        deafBeforeNanos = System.nanoTime()
    }

    override fun close() {
        server.stop(0, 0)
    }

    private suspend fun io.ktor.server.routing.RoutingContext.withFaults(answer: suspend ApplicationCall.() -> Unit) {
        calls++
        if (isSilent(call)) awaitCancellation()
        if (faults.busy || isBusy(call)) return call.respond(HttpStatusCode.ServiceUnavailable)
        delay(faults.delayMillis.milliseconds)
        call.answer()
    }

    private suspend fun ApplicationCall.list() {
        val after = parameter("SinceRev")
        val page = synchronized(this@PlatformStoreServer) {
            val all = objects[kind()].orEmpty().toSortedMap().entries.filter { after == null || it.key > after }
            val entries = all.take(pageSize).map { (name, stored) -> item(name, stored) }
            JsonObject(
                mapOf(
                    "Entries" to JsonArray(entries),
                    "HasMore" to JsonPrimitive(all.size > pageSize),
                    "StoreRevision" to JsonPrimitive(revision),
                ),
            )
        }
        respondJson(page)
    }

    private suspend fun ApplicationCall.watch() {
        val waiting = watching.getOrPut(listenAddress()) { AtomicInteger() }
        waiting.incrementAndGet()
        try {
            awaitChanges()
        } finally {
            waiting.decrementAndGet()
        }
    }

    private suspend fun ApplicationCall.awaitChanges() {
        val since = checkNotNull(parameter("Watch")?.toLongOrNull()) { "the Watch parameter must be a revision number" }
        val startNanos = System.nanoTime()
        val endNanos = startNanos + (parameter("WaitMs")?.toLong() ?: 0) * NANOS_PER_MILLI
        while (true) {
            if (isSilent(this)) awaitCancellation()
            if (isBusy(this)) return respond(HttpStatusCode.ServiceUnavailable)
            if (startNanos < deafBeforeNanos && System.nanoTime() < endNanos) {
                delay(WATCH_POLL_MILLIS.milliseconds)
                continue
            }
            val (gone, events, now) = synchronized(this@PlatformStoreServer) {
                Triple(
                    since < oldestRevision || since > revision,
                    history.filter {
                        it.kind == kind() && it.revision > since
                    },
                    revision,
                )
            }
            if (gone) return respond(HttpStatusCode.Gone)
            if (events.isNotEmpty() || System.nanoTime() >= endNanos) return respondJson(changes(events, now))
            delay(WATCH_POLL_MILLIS.milliseconds)
        }
    }

    private suspend fun ApplicationCall.create() {
        val body = Json.parseToJsonElement(receiveText()).jsonObject
        val name = body.getValue("Meta").jsonObject.getValue("Name").jsonPrimitive.content
        if (name in names(kind())) return respond(HttpStatusCode.Conflict)
        write(name, body)
    }

    private suspend fun ApplicationCall.replace() {
        val name = checkNotNull(parameters["name"]) { "the path has no object name" }
        if (name !in names(kind())) return respond(HttpStatusCode.NotFound)
        write(name, Json.parseToJsonElement(receiveText()).jsonObject)
    }

    private suspend fun ApplicationCall.delete() {
        val name = checkNotNull(parameters["name"]) { "the path has no object name" }
        if (name !in names(kind())) return respond(HttpStatusCode.NotFound)
        remove(kind(), name)
        respondJson(JsonObject(emptyMap()))
    }

    private suspend fun ApplicationCall.write(name: String, body: JsonObject) {
        put(kind(), name, body["Spec"] ?: JsonNull)
        if (faults.losesReplies) awaitCancellation()
        respondJson(JsonObject(emptyMap()))
    }

    private fun changes(events: List<Event>, now: Long) = JsonObject(
        mapOf(
            "events" to JsonArray(
                events.map { event ->
                    val stored = event.stored ?: Stored(JsonNull, event.revision)
                    JsonObject(mapOf("Deleted" to JsonPrimitive(event.stored == null), "Object" to item(event.name, stored)))
                },
            ),
            "StoreRevision" to JsonPrimitive(now),
        ),
    )

    private fun item(name: String, stored: Stored) = JsonObject(
        mapOf(
            "Meta" to JsonObject(mapOf("Name" to JsonPrimitive(name), "Revision" to JsonPrimitive(stored.revision))),
            "Spec" to stored.spec,
        ),
    )

    private suspend fun ApplicationCall.respondJson(body: JsonObject) {
        response.headers.append("Store-Era", era.toString())
        respondText(body.toString(), ContentType.Application.Json)
    }

    private fun isSilent(call: ApplicationCall): Boolean = faults.silent || call.kind() in faults.silentKinds

    private fun isBusy(call: ApplicationCall): Boolean =
        call.kind() in faults.busyKinds || call.listenAddress() in faults.busyAddresses

    private fun ApplicationCall.listenAddress(): String = "$LOOPBACK:${request.local.localPort}"

    private fun ApplicationCall.kind(): String = checkNotNull(parameters["kind"]) { "the path has no object kind" }

    private fun ApplicationCall.parameter(name: String): String? = request.queryParameters[name]

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val NANOS_PER_MILLI = 1_000_000L
        const val WATCH_POLL_MILLIS = 5L
    }
}
