package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.membership.StoreWatcherSelection
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.wire.FleetFormat
import buckthornbay.store.CollectionChange
import buckthornbay.store.CollectionChanges
import buckthornbay.store.CollectionSnapshot
import buckthornbay.store.ObjectCollections
import buckthornbay.store.StoreError
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration.Companion.milliseconds

/** The reachability of the store from this host, and whether the host watches the store. */
internal class StoreReachability(
    private val watcherSelection: StoreWatcherSelection,
    private val clock: Clock,
    private val log: DecisionLog,
    val watchesStore: () -> Boolean,
) {
    private var unreachable = false

    /** Records a response of the store and returns its time in milliseconds. */
    fun recordResponse(): Long {
        val nowMillis = clock.nowMillis()
        watcherSelection.recordStoreContact(nowMillis)
        if (unreachable) log.stateChange("event=store_regained")
        unreachable = false
        return nowMillis
    }

    /** Records that peers watch the store in place of this host and returns the current time in milliseconds. */
    fun delegatedToPeers(): Long {
        unreachable = false
        return clock.nowMillis()
    }

    /** Records that a call for objects of [kind] failed with [error]. */
    fun recordFailure(kind: String, error: StoreError) {
        if (!unreachable) log.warning("event=store_lost kind=$kind reason=\"$error\"")
        unreachable = true
    }

    /** Logs that the store has compacted the history after [revision], so that the objects have to be listed again. */
    fun logHistoryGone(kind: String, revision: Long?) = log.stateChange("event=store_history_gone kind=$kind revision=$revision")
}

/**
 * A watcher that keeps [fleetView] in sync with the store by one watch for the configuration and one for the registrations.
 *
 * It watches while [StoreWatcherSelection] selects this host or nothing is known yet; otherwise peers deliver the changes.
 */
internal class StoreWatcher(
    private val store: ObjectCollections,
    private val format: FleetFormat,
    private val fleetView: FleetView,
    private val registry: UpstreamRegistry,
    private val reachability: StoreReachability,
    private val random: UniformRandomProvider,
    private val log: DecisionLog,
) {
    fun start(scope: CoroutineScope) {
        scope.launchLoop("watch of the configuration", log) { keepInSync(WatchedConfiguration()) }
        scope.launchLoop("watch of the registrations", log) { keepInSync(WatchedRegistrations()) }
    }

    /** A collection of the store that is kept in sync. */
    private interface WatchedCollection {
        val kind: String

        /** Whether this host has received any object of this kind. */
        val isKnown: Boolean

        /** Long-poll time of a watch call, in milliseconds; a hung call is given up after it and the response timeout. */
        val watchMillis: Long

        /** Delay after a change before the next watch call, in milliseconds, in which further changes accumulate. */
        val batchMillis: Long

        fun onSnapshot(snapshot: CollectionSnapshot)

        fun onChanges(changes: CollectionChanges)
    }

    private suspend fun keepInSync(watched: WatchedCollection) {
        var failures = 0
        var revision: Long? = null
        while (true) {
            if (watched.isKnown && !reachability.watchesStore()) {
                revision = null
                registry.storeRegained(reachability.delegatedToPeers())
                delay(SELECTION_CHECK_MILLIS.milliseconds)
                continue
            }
            val next = revision?.let { watch(watched, it) } ?: list(watched)
            failures = if (next.isOk) 0 else failures + 1
            revision = next.getOrElse { error -> revisionAfter(watched, error, revision) }
            if (failures > 0 && !next.isHistoryGone()) delay(backoffMillis(failures).milliseconds)
        }
    }

    private suspend fun list(watched: WatchedCollection): Result<Long, StoreError> = store.list(watched.kind).map { snapshot ->
        recordResponse()
        watched.onSnapshot(snapshot)
        snapshot.revision
    }

    private suspend fun watch(watched: WatchedCollection, revision: Long): Result<Long, StoreError> =
        store.watch(watched.kind, revision, watched.watchMillis).map { changes ->
            recordResponse()
            watched.onChanges(changes)
            if (changes.changes.isNotEmpty()) delay(watched.batchMillis.milliseconds)
            maxOf(revision, changes.revision)
        }

    /** Returns the revision from which to resume the watch after [error], or null if the objects have to be listed again. */
    private fun revisionAfter(watched: WatchedCollection, error: StoreError, revision: Long?): Long? {
        if (error == StoreError.HistoryGone) {
            reachability.logHistoryGone(watched.kind, revision)
            return null
        }
        recordFailure(watched.kind, error)
        return revision
    }

    private fun Result<Long, StoreError>.isHistoryGone(): Boolean = getError() == StoreError.HistoryGone

    private fun recordResponse() = registry.storeRegained(reachability.recordResponse())

    private fun recordFailure(kind: String, error: StoreError) {
        registry.storeLost()
        reachability.recordFailure(kind, error)
    }

    private fun backoffMillis(failures: Int): Long {
        val upperMillis = (FIRST_BACKOFF_MILLIS shl (failures - 1).coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_BACKOFF_MILLIS)
        return upperMillis / 2 + (random.nextDouble() * upperMillis / 2).toLong()
    }

    private inner class WatchedConfiguration : WatchedCollection {
        override val kind = format.configurationKind
        override val isKnown: Boolean get() = fleetView.configurationVersion > 0
        override val watchMillis = CONFIGURATION_WATCH_MILLIS
        override val batchMillis = 0L

        override fun onSnapshot(snapshot: CollectionSnapshot) = snapshot.objects.filter {
            it.name == format.configurationName
        }.forEach { fleetView.offerConfiguration(it.value, STORE) }

        override fun onChanges(changes: CollectionChanges) = changes.changes.forEach { change ->
            if (change is CollectionChange.Put && change.stored.name == format.configurationName) {
                fleetView.offerConfiguration(change.stored.value, STORE)
            }
        }
    }

    private inner class WatchedRegistrations : WatchedCollection {
        override val kind = format.registrationsKind
        override val isKnown: Boolean get() = fleetView.registryLoaded
        override val watchMillis = REGISTRATIONS_WATCH_MILLIS
        override val batchMillis = BATCH_MILLIS

        override fun onSnapshot(snapshot: CollectionSnapshot) =
            fleetView.replaceRegistrations(snapshot.objects, snapshot.revision, STORE)

        override fun onChanges(changes: CollectionChanges) = fleetView.applyRegistrations(changes.changes, changes.revision)
    }

    private companion object {
        const val STORE = "store"

        /**
         * Long-poll time of the configuration's watch, in milliseconds; long because the store charges for each call. With the
         * time for the response, a watch that was lost in an outage still ends early enough for a change to be applied within
         * 5.5 s after the end of the outage.
         */
        const val CONFIGURATION_WATCH_MILLIS = 4_000L

        /**
         * The same for registrations, in milliseconds; shorter, because an upstream whose registration is gone stays in use for
         * the grace period after the store has recovered.
         */
        const val REGISTRATIONS_WATCH_MILLIS = 2_000L

        /** Batching delay after changes of registrations, in milliseconds; upstreams that start together cost one call. */
        const val BATCH_MILLIS = 250L

        /**
         * Period at which a host that does not watch the store checks whether it should, in milliseconds; a tenth of the time
         * within which changes must be applied.
         */
        const val SELECTION_CHECK_MILLIS = 250L

        /** Initial backoff after a failed call, in milliseconds; ten times the usual response time of the store. */
        const val FIRST_BACKOFF_MILLIS = 40L
        const val MAX_DOUBLINGS = 5

        /** Longest backoff, in milliseconds; a recovered store is noticed well within the time limit for applying changes. */
        const val MAX_BACKOFF_MILLIS = 600L
    }
}
