package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.membership.CollectionKnowledge
import buckthornbay.core.membership.StoreCall
import buckthornbay.core.membership.StoreCallSchedule
import buckthornbay.core.membership.StoreKnowledge
import buckthornbay.core.membership.watchesStore
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.wire.FleetFormat
import buckthornbay.protocol.HostId
import buckthornbay.store.CollectionChange
import buckthornbay.store.CollectionChanges
import buckthornbay.store.CollectionSnapshot
import buckthornbay.store.ObjectCollections
import buckthornbay.store.StoreError
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration.Companion.milliseconds

/** What this host knows of the store, and the hosts with which it shares the calls. */
internal class StoreAccess(
    val self: HostId,
    val knowledge: StoreKnowledge,
    val bounds: BoundSettings,
    val liveHosts: () -> List<HostId>,
) {
    /** Returns whether this host watches the store for the others. */
    fun isWatcher(): Boolean = watchesStore(self, liveHosts())
}

/**
 * A watcher that keeps [fleetView] in sync with the store, the configuration and the registrations separately.
 *
 * It calls the store when [StoreCallSchedule] says so; otherwise peers deliver the changes.
 */
internal class StoreWatcher(
    private val store: ObjectCollections,
    private val format: FleetFormat,
    private val fleetView: FleetView,
    private val registry: UpstreamRegistry,
    private val access: StoreAccess,
    private val random: UniformRandomProvider,
    private val clock: Clock,
    private val log: DecisionLog,
) {
    /** Called when a response of the store has been applied. */
    var onResponse: () -> Unit = {}

    fun start(scope: CoroutineScope) {
        val configuration = WatchedConfiguration()
        val registrations = WatchedRegistrations()
        scope.launchLoop("watch of the configuration", log) { keepInSync(configuration) }
        scope.launchLoop("watch of the registrations", log) { keepInSync(registrations) }
    }

    /** A collection of the store that is kept in sync. */
    private abstract inner class WatchedCollection(val kind: String, private val schedule: StoreCallSchedule) {
        val knowledge: CollectionKnowledge get() = schedule.knowledge
        private var lostAtMillis: Long? = null

        /** Whether this host has received any object of this kind. */
        abstract val isKnown: Boolean

        /** Delay after a change before the next watch call, in milliseconds, in which further changes accumulate. */
        abstract val batchMillis: Long

        fun nextCall(): StoreCall {
            val tookOver = schedule.takesOver
            val ageMillis = knowledge.ageMillis(clock.nowMillis())
            val call = schedule.next(clock.nowMillis(), access.liveHosts(), isKnown)
            val takesOver = schedule.takesOver && !tookOver && isKnown
            if (takesOver) log.stateChange("event=store_taken_over kind=$kind age_ms=$ageMillis")
            return call
        }

        fun onSnapshot(atMillis: Long, snapshot: CollectionSnapshot) {
            log.stateChange("event=store_listed ${fields(atMillis)} revision=${snapshot.revision}")
            apply(snapshot)
            confirm(atMillis, snapshot.revision, changed = true)
        }

        fun onChanges(sentAtMillis: Long, atMillis: Long, changes: CollectionChanges) {
            val count = changes.changes.size
            if (count > 0) {
                log.stateChange("event=store_changed ${fields(sentAtMillis)} changes=$count revision=${changes.revision}")
            }
            apply(changes)
            confirm(atMillis, changes.revision, count > 0)
        }

        /** Returns the log fields of a call that was sent at [sentAtMillis] and has ended now. */
        fun fields(sentAtMillis: Long): String {
            val nowMillis = clock.nowMillis()
            return "kind=$kind call_ms=${nowMillis - sentAtMillis} age_ms=${knowledge.ageMillis(nowMillis)}"
        }

        private fun confirm(atMillis: Long, revision: Long, changed: Boolean) {
            schedule.recordResponse(atMillis, revision, changed)
            noteRegained()
            onResponse()
        }

        /** Records that the store is reachable again once a response or a peer has confirmed the knowledge since the failure. */
        fun noteRegained() {
            val lost = lostAtMillis ?: return
            if (knowledge.confirmedAtMillis < lost) return
            lostAtMillis = null
            log.stateChange("event=store_regained kind=$kind lost_ms=${clock.nowMillis() - lost}")
            storeRegained()
        }

        fun recordFailure(sentAtMillis: Long, error: StoreError) {
            if (lostAtMillis == null) log.warning("event=store_lost ${fields(sentAtMillis)} reason=\"$error\"")
            lostAtMillis = clock.nowMillis()
            storeLost()
        }

        protected abstract fun apply(snapshot: CollectionSnapshot)

        protected abstract fun apply(changes: CollectionChanges)

        protected open fun storeLost() = Unit

        protected open fun storeRegained() = Unit
    }

    private suspend fun keepInSync(watched: WatchedCollection) {
        // A restart of this loop lists anew, since the changes at which it ended may end it again.
        watched.knowledge.forgetRevision()
        var failures = 0
        while (true) {
            val result = when (val call = watched.nextCall()) {
                is StoreCall.Delegate -> {
                    failures = 0
                    watched.noteRegained()
                    delay(call.millis.milliseconds)
                    continue
                }
                is StoreCall.ListAll -> list(watched)
                is StoreCall.Watch -> watch(watched, call)
            }
            failures = if (result.isOk) 0 else failures + 1
            if (failures > 0 && result.getError() != StoreError.HistoryGone) delay(backoffMillis(failures).milliseconds)
        }
    }

    private suspend fun list(watched: WatchedCollection): Result<Unit, StoreError> {
        val sentAtMillis = clock.nowMillis()
        return store.list(watched.kind).onFailure { watched.recordFailure(sentAtMillis, it) }.map { watched.onSnapshot(sentAtMillis, it) }
    }

    private suspend fun watch(watched: WatchedCollection, call: StoreCall.Watch): Result<Unit, StoreError> {
        val sentAtMillis = clock.nowMillis()
        val result = store.watch(watched.kind, call.revision, call.waitMillis)
        // The store answers when the wait is over; a response that took longer describes an earlier state.
        val answeredAtMillis = minOf(clock.nowMillis(), sentAtMillis + call.waitMillis)
        return result.onFailure { recordFailure(watched, sentAtMillis, it, call.revision) }.map { changes ->
            watched.onChanges(sentAtMillis, answeredAtMillis, changes)
            if (changes.changes.isNotEmpty()) delay(watched.batchMillis.milliseconds)
        }
    }

    private fun recordFailure(watched: WatchedCollection, sentAtMillis: Long, error: StoreError, revision: Long) {
        if (error != StoreError.HistoryGone) return watched.recordFailure(sentAtMillis, error)
        log.stateChange("event=store_history_gone ${watched.fields(sentAtMillis)} revision=$revision")
        watched.knowledge.forgetRevision()
    }

    private fun backoffMillis(failures: Int): Long {
        val upperMillis = (FIRST_BACKOFF_MILLIS shl (failures - 1).coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_BACKOFF_MILLIS)
        return upperMillis / 2 + (random.nextDouble() * upperMillis / 2).toLong()
    }

    private inner class WatchedConfiguration :
        WatchedCollection(
            format.configurationKind,
            access.run {
                StoreCallSchedule(self, knowledge.configuration, bounds.configurationMillis, CONFIGURATION_WATCH_MILLIS)
            },
        ) {
        override val isKnown: Boolean get() = fleetView.configurationVersion > 0
        override val batchMillis = 0L

        override fun apply(snapshot: CollectionSnapshot) = snapshot.objects.filter {
            it.name == format.configurationName
        }.forEach { fleetView.offerConfiguration(it.value, STORE) }

        override fun apply(changes: CollectionChanges) = changes.changes.forEach { change ->
            if (change is CollectionChange.Put && change.stored.name == format.configurationName) {
                fleetView.offerConfiguration(change.stored.value, STORE)
            }
        }
    }

    private inner class WatchedRegistrations :
        WatchedCollection(
            format.registrationsKind,
            access.run { StoreCallSchedule(self, knowledge.registrations, bounds.drainMillis, REGISTRATIONS_WATCH_MILLIS) },
        ) {
        override val isKnown: Boolean get() = fleetView.registryLoaded
        override val batchMillis = BATCH_MILLIS

        override fun apply(snapshot: CollectionSnapshot) =
            fleetView.replaceRegistrations(snapshot.objects, snapshot.revision, STORE)

        override fun apply(changes: CollectionChanges) = fleetView.applyRegistrations(changes.changes, changes.revision)

        override fun storeLost() = registry.storeLost()

        override fun storeRegained() = registry.storeRegained(clock.nowMillis())
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

        /** Initial backoff after a failed call, in milliseconds; ten times the usual response time of the store. */
        const val FIRST_BACKOFF_MILLIS = 40L
        const val MAX_DOUBLINGS = 5

        /** Longest backoff, in milliseconds; a recovered store is noticed well within the time limit for applying changes. */
        const val MAX_BACKOFF_MILLIS = 600L
    }
}
