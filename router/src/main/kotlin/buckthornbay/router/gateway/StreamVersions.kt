package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.membership.rendezvousOrder
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.resumption.DeclaredVersions
import buckthornbay.core.resumption.OriginLookup
import buckthornbay.core.resumption.ServiceVersion
import buckthornbay.core.resumption.StreamKey
import buckthornbay.core.resumption.StreamOrigins
import buckthornbay.core.resumption.lookUpOrigin
import buckthornbay.core.routing.RouteKind
import buckthornbay.core.routing.RouteTable
import buckthornbay.core.wire.FleetFormat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.ServiceId
import buckthornbay.store.ObjectCollections
import buckthornbay.store.StoreError
import buckthornbay.store.StoreRevision
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

/** The state of the fleet that [StreamVersions] depends on. */
internal class StreamVersionsView(
    val self: HostId,
    val liveHosts: () -> List<HostId>,
    val routes: () -> RouteTable?,
    val registry: UpstreamRegistry,
    val clock: Clock,
)

/**
 * The software versions that resumable streams are bound to, with their copy in the platform's store.
 *
 * A host declares a new version in the store before it begins streams at its upstreams. While a service has several declared
 * versions, each host stores in batches where its streams have begun, for callers that come back to another host, or after all
 * hosts have failed.
 */
internal class StreamVersions(
    private val store: ObjectCollections,
    private val format: FleetFormat,
    private val view: StreamVersionsView,
    private val settings: StreamVersionsSettings,
    private val log: DecisionLog,
    private val scope: CoroutineScope,
) {
    private val origins = StreamOrigins()
    private val declared = DeclaredVersions()
    private val nowMillis: Long get() = view.clock.nowMillis()
    private val upstreamChanges = Channel<Unit>(Channel.CONFLATED)
    private val selections = HashMap<ServiceId, Selection>()
    private var storedChanges = NOTHING_STORED
    private var readInEra: Long? = null
    private var hasStoredOrigins = false
    private var reading: Deferred<Unit>? = null

    /** The [versions] at which streams of a service may begin; null if all may. Each request that is placed asks for them. */
    private class Selection(val versions: Set<String>?)

    fun start() {
        scope.launchLoop("declared versions", log) {
            load()
            while (true) {
                readAgainAfterRestore()
                declareNew()
                withdrawOld()
                withTimeoutOrNull(CHECK_MILLIS.milliseconds) { upstreamChanges.receive() }
            }
        }
        scope.launchLoop("stream origins", log) {
            while (true) {
                delay(settings.batchMillis(view.liveHosts().size).milliseconds)
                storeOrigins()
            }
        }
    }

    /** Returns the versions at which streams of [service] may begin; null if all may. */
    fun forNewStreams(service: ServiceId): Set<String>? = selections.getOrPut(service) {
        val usable = view.registry.usable(service).mapNotNull { it.softwareVersion }.toSet()
        Selection(declared.forNewStreams(service, usable))
    }.versions

    /** Takes note of a change of the registered upstreams. */
    fun upstreamsChanged() {
        selections.clear()
        upstreamChanges.trySend(Unit)
    }

    /** Records that [key] has begun at [origin] and may be taken up again until [untilMillis]. */
    fun begun(key: StreamKey, origin: ServiceVersion, untilMillis: Long) =
        origins.record(key, origin, untilMillis + COME_BACK_MILLIS)

    /**
     * Calls [onResult] with the origin of the stream [key] of [service], or with null if nobody knows it.
     *
     * Another host stores what it knows with its next batch at the latest, so the store may be read twice.
     */
    fun find(key: StreamKey, service: ServiceId, onResult: (ServiceVersion?) -> Unit) {
        known(key, service)?.let { return onResult(it) }
        scope.launch {
            val batchMillis = settings.batchMillis(view.liveHosts().size)
            val found = withTimeoutOrNull((batchMillis + LOOKUP_CALLS_MILLIS).milliseconds) {
                readOrigins()
                known(key, service) ?: run {
                    delay(batchMillis.milliseconds)
                    readOrigins()
                    known(key, service)
                }
            }
            onResult(found ?: known(key, service))
        }
    }

    private fun known(key: StreamKey, service: ServiceId): ServiceVersion? =
        (lookUpOrigin(nowMillis, key, service, origins, declared) as? OriginLookup.Known)?.version

    private suspend fun load() {
        while (!declared.isLoaded) {
            if (!readDeclared()) delay(LOAD_RETRY_MILLIS.milliseconds)
        }
        readInEra = StoreRevision.eraOf(view.registry.revision)
        if (declared.isMixed) readOrigins()
    }

    /** Reads the declarations again, and stores the origins again, if the store was restored from an older copy. */
    private suspend fun readAgainAfterRestore() {
        val era = StoreRevision.eraOf(view.registry.revision)
        if (era == readInEra || !readDeclared()) return
        readInEra = era
        storedChanges = NOTHING_STORED
    }

    /** Declares the versions of upstreams that have come; all hosts see them, and the first one by rank writes. */
    private suspend fun declareNew() {
        if (declared.undeclared(registered()).isEmpty()) return
        val rank = rank()
        if (rank > 0) {
            delay((minOf(rank, MAX_RANK) * RANK_STEP_MILLIS).milliseconds)
            readDeclared()
        }
        for (version in declared.undeclared(registered())) {
            val value = StreamVersionsFormat.encodeVersion(version)
            val written = store.put(format.declaredVersionsKind, StreamVersionsFormat.nameOf(version), value)
            if (!written.succeeded("declare")) continue
            declared.declared(version)
            selections.clear()
            log.stateChange("event=version_declared service=${version.service} version=${version.softwareVersion}")
        }
    }

    /** Withdraws the versions whose last upstream left so long ago that no caller can come back with a stream of it. */
    private suspend fun withdrawOld() {
        val retainMillis = retainMillis() + minOf(rank(), MAX_RANK) * WITHDRAW_STEP_MILLIS
        if (declared.absentFor(nowMillis, retainMillis, registered()).isEmpty() || !readDeclared()) return
        for (version in declared.absentFor(nowMillis, retainMillis, registered())) {
            if (declared.isStored(version) && !removeDeclaration(version)) continue
            declared.withdrawn(version)
            selections.clear()
            log.stateChange("event=version_withdrawn service=${version.service} version=${version.softwareVersion}")
        }
    }

    private suspend fun removeDeclaration(version: ServiceVersion): Boolean =
        store.remove(format.declaredVersionsKind, StreamVersionsFormat.nameOf(version)).succeeded("withdraw")

    /** Stores the origins of this host's streams if they changed, or removes them when they aren't needed any more. */
    private suspend fun storeOrigins() {
        val name = view.self.value
        if (!declared.isMixed) {
            if (hasStoredOrigins && store.remove(format.streamOriginsKind, name).succeeded("remove")) hasStoredOrigins = false
            return
        }
        val changes = origins.changes
        if (changes == storedChanges || (changes == 0L && !hasStoredOrigins)) return
        val value = StreamVersionsFormat.encodeOrigins(origins.current(nowMillis))
        if (!store.put(format.streamOriginsKind, name, value).succeeded("store")) return
        storedChanges = changes
        hasStoredOrigins = true
    }

    private suspend fun readDeclared(): Boolean {
        val read = store.list(format.declaredVersionsKind)
        if (!read.succeeded("list declared versions")) return false
        val versions = read.getOrElse { return false }.objects.mapNotNull { stored ->
            StreamVersionsFormat.decodeVersion(stored.value).getOrElse { problem ->
                log.warning("event=declared_version_unreadable name=${stored.name} reason=\"$problem\"")
                null
            }
        }
        declared.replaceAll(versions.toSet())
        selections.clear()
        return true
    }

    /** Adds what all hosts have stored; requests that ask at the same time share a call. */
    private suspend fun readOrigins() {
        val current = reading ?: scope.async { listOrigins() }.also { started ->
            reading = started
            started.invokeOnCompletion { reading = null }
        }
        current.await()
    }

    private suspend fun listOrigins() {
        val read = store.list(format.streamOriginsKind)
        if (!read.succeeded("list stream origins")) return
        val untilMillis = nowMillis + retainMillis()
        for (stored in read.getOrElse { return }.objects) {
            val streams = StreamVersionsFormat.decodeOrigins(stored.value).getOrElse { problem ->
                log.warning("event=stream_origins_unreadable name=${stored.name} reason=\"$problem\"")
                continue
            }
            origins.merge(streams, untilMillis)
            if (stored.name == view.self.value) hasStoredOrigins = true
        }
    }

    /** Returns the versions of the registered upstreams to which resumable routes lead. */
    private fun registered(): Set<ServiceVersion> {
        val services = resumableRoutes().flatMap { route -> route.targets.map { it.service } }.toSet()
        return view.registry.all().filter { it.service in services }
            .mapNotNull { entry -> entry.softwareVersion?.let { ServiceVersion(entry.service, it) } }.toSet()
    }

    private fun resumableRoutes() = view.routes()?.configuration?.routes.orEmpty()
        .filter { it.kind == RouteKind.EVENT_STREAM && it.resumable }

    /** Returns the time after which no caller comes back with a stream, in milliseconds. */
    private fun retainMillis(): Long =
        CALLER_TIMEOUTS * (resumableRoutes().maxOfOrNull { it.timeoutMillis } ?: DEFAULT_TIMEOUT_MILLIS) + settings.drainMillis

    /** Returns the place of this host among those that write declarations, 0 for the first. */
    private fun rank(): Int = rendezvousOrder(format.declaredVersionsKind, view.liveHosts()).indexOf(view.self).coerceAtLeast(0)

    private fun Result<*, StoreError>.succeeded(operation: String): Boolean {
        if (isErr) log.warning("event=stream_versions_store_failed operation=\"$operation\" reason=\"${getError()}\"")
        return isOk
    }

    private companion object {
        /** Number of changes that no copy in the store has. */
        const val NOTHING_STORED = -1L

        /**
         * Longest time between two checks of the declared versions, in milliseconds. Changes of the upstreams are looked at as
         * they come; the checks between are for versions whose upstreams have left, and for calls of the store that failed.
         */
        const val CHECK_MILLIS = 500L

        /** Pause between two attempts to read the store after the start, in milliseconds. */
        const val LOAD_RETRY_MILLIS = 200L

        /** Time for which a host waits for each one before it to declare a version, in milliseconds: some calls of the store. */
        const val RANK_STEP_MILLIS = 40L

        /** The same for withdrawing, which isn't urgent. */
        const val WITHDRAW_STEP_MILLIS = 500L

        /** Largest number of such steps, so that in a large fleet hosts don't wait for long. */
        const val MAX_RANK = 10

        /** Time that a caller may need to come back after its time limit, in milliseconds: a connection and a retry. */
        const val COME_BACK_MILLIS = 1_000L

        /** Time for the calls of a lookup, in milliseconds: two calls of a slow store. */
        const val LOOKUP_CALLS_MILLIS = 700L

        /** Number of time limits of a route for which a version is kept: callers may state longer ones than the route. */
        const val CALLER_TIMEOUTS = 2

        /** Time limit that is assumed before the first configuration is known, in milliseconds. */
        const val DEFAULT_TIMEOUT_MILLIS = 15_000L
    }
}

/**
 * Settings of [StreamVersions].
 *
 * @property writesPerSecond write calls per second that the store takes from all hosts together.
 * @property drainMillis time for which a host may still use an upstream that has left, in milliseconds.
 */
internal class StreamVersionsSettings(private val writesPerSecond: Double, val drainMillis: Long) {
    /** Returns the time between two batches of this host in a fleet of [hosts], in milliseconds. */
    fun batchMillis(hosts: Int): Long =
        maxOf(MIN_BATCH_MILLIS, (hosts * MILLIS_PER_SECOND / (writesPerSecond * WRITES_PART)).toLong())

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Shortest time between two batches, in milliseconds: streams that begin within it are unknown if all hosts fail. */
        const val MIN_BATCH_MILLIS = 250L

        /** Part of the store's write calls that batches may use. */
        const val WRITES_PART = 0.25
    }
}
