package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.membership.ChangeLimits
import buckthornbay.core.membership.CollectionKnowledge
import buckthornbay.core.membership.PendingStoreCall
import buckthornbay.core.membership.StoreCall
import buckthornbay.core.membership.StoreCallSchedule
import buckthornbay.core.membership.StoreCallTimes
import buckthornbay.core.membership.StoreKnowledge
import buckthornbay.core.membership.StoreStep
import buckthornbay.core.membership.watchesStore
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.wire.FleetFormat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.ZoneId
import buckthornbay.store.CallOptions
import buckthornbay.store.CollectionChange
import buckthornbay.store.CollectionChanges
import buckthornbay.store.CollectionSnapshot
import buckthornbay.store.ObjectCollections
import buckthornbay.store.StoreError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.commons.rng.UniformRandomProvider

/** What this host knows of the store, and the hosts with which it shares the calls. */
internal class StoreAccess(
    val self: HostId,
    val knowledge: StoreKnowledge,
    val bounds: BoundSettings,
    val liveHosts: () -> List<HostId>,
) {
    /** Returns whether this host watches the store for the others. */
    fun isWatcher(): Boolean = watchesStore(self, liveHosts())

    /** Returns the schedule of this host's calls for [collection], whose changes must be applied within [lagMillis]. */
    fun schedule(
        collection: CollectionKnowledge,
        lagMillis: Long,
        random: UniformRandomProvider,
        batchMillis: Long = 0,
    ): StoreCallSchedule {
        val times = StoreCallTimes(ChangeLimits(lagMillis, bounds.contactMillis))
        return StoreCallSchedule(self, collection, times, random, batchMillis)
    }
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
    /** Called with the kind of objects and whether it is a check, when a call is sent. */
    var onCall: (kind: String, isCheck: Boolean) -> Unit = { _, _ -> }

    /** Called when a response of the store has been applied. */
    var onResponse: () -> Unit = {}

    fun start(scope: CoroutineScope) {
        val configuration = WatchedConfiguration()
        val registrations = WatchedRegistrations()
        scope.launchLoop("watch of the configuration", log) { configuration.keepInSync() }
        scope.launchLoop("watch of the registrations", log) { registrations.keepInSync() }
        val lagMillis = access.bounds.evacuationMillis ?: return
        val evacuations = WatchedEvacuations(lagMillis)
        scope.launchLoop("watch of the evacuations", log) { evacuations.keepInSync() }
    }

    /** A collection of the store that is kept in sync. */
    private abstract inner class WatchedCollection(val kind: String, private val schedule: StoreCallSchedule) {
        private val knowledge: CollectionKnowledge get() = schedule.knowledge
        private val jobs = HashMap<PendingStoreCall, Job>()
        private val ended = Channel<Unit>(Channel.CONFLATED)
        private var lostAtMillis: Long? = null

        /** Whether this host has received any object of this kind. */
        protected abstract val isKnown: Boolean

        protected abstract fun apply(snapshot: CollectionSnapshot)

        protected abstract fun apply(changes: CollectionChanges)

        protected open fun storeLost() = Unit

        protected open fun storeRegained() = Unit

        /** Sends the calls of the schedule, several at once if need be, until it is cancelled or one of them throws. */
        suspend fun keepInSync() = coroutineScope {
            jobs.clear()
            // A restart of this loop lists anew, since the changes at which it ended may end it again.
            schedule.restart()
            while (true) {
                when (val step = nextStep()) {
                    is StoreStep.Wait -> withTimeoutOrNull(step.millis) { ended.receive() }
                    is StoreStep.Send -> {
                        step.givenUp?.let { cancel(listOf(it)) }
                        if (step.isStoreSilent) {
                            recordLost(
                                "kind=$kind age_ms=${knowledge.ageMillis(clock.nowMillis())} reason=\"checks got no response\"",
                            )
                        }
                        onCall(kind, step.call.isCheck)
                        jobs[step.call] = launch { perform(step.call) }
                    }
                }
            }
        }

        private fun nextStep(): StoreStep {
            noteRegained()
            val nowMillis = clock.nowMillis()
            val tookOver = schedule.takesOver
            val step = schedule.next(nowMillis, access.liveHosts(), isKnown)
            val takesOver = schedule.takesOver && !tookOver && isKnown
            if (takesOver) log.stateChange("event=store_taken_over kind=$kind age_ms=${knowledge.ageMillis(nowMillis)}")
            return step
        }

        private suspend fun perform(pending: PendingStoreCall) {
            val options = CallOptions(pending.onNewConnection, pending.timeoutMillis)
            when (val call = pending.call) {
                is StoreCall.ListAll -> store.list(kind, options).onSuccess { snapshot ->
                    log.stateChange("event=store_listed ${fields(pending)} revision=${snapshot.revision}")
                    apply(snapshot)
                    recordResponse(pending, snapshot.revision, changed = true)
                }
                is StoreCall.Watch -> store.watch(kind, call.revision, call.waitMillis, options).onSuccess { changes ->
                    val count = changes.changes.size
                    if (count > 0) {
                        log.stateChange("event=store_changed ${fields(pending)} changes=$count revision=${changes.revision}")
                    }
                    apply(changes)
                    recordResponse(pending, changes.revision, changed = count > 0)
                }
            }.onFailure { recordFailure(pending, it) }
            jobs.remove(pending)
            ended.trySend(Unit)
        }

        private fun recordResponse(pending: PendingStoreCall, revision: Long, changed: Boolean) {
            cancel(schedule.answered(clock.nowMillis(), pending, revision, changed))
            noteRegained()
            onResponse()
        }

        private fun recordFailure(pending: PendingStoreCall, error: StoreError) {
            if (error == StoreError.HistoryGone) {
                val revision = (pending.call as? StoreCall.Watch)?.revision
                log.stateChange("event=store_history_gone ${fields(pending)} revision=$revision")
                cancel(schedule.historyGone(pending))
                return
            }
            schedule.failed(clock.nowMillis(), pending, (error as? StoreError.RateLimited)?.retryAfterMillis ?: 0)
            val reason = "${fields(pending)} reason=\"$error\""
            // A watch that failed says nothing about the store, which may cut it off at any time; the check that follows does.
            if (pending.isCheck) recordLost(reason) else log.stateChange("event=store_watch_lost $reason")
        }

        private fun recordLost(reason: String) {
            if (lostAtMillis == null) log.warning("event=store_lost $reason")
            lostAtMillis = clock.nowMillis()
            storeLost()
        }

        /** Records that the store is reachable again once a response or a peer has confirmed the knowledge since the failure. */
        private fun noteRegained() {
            val lost = lostAtMillis ?: return
            if (knowledge.confirmedAtMillis < lost) return
            lostAtMillis = null
            log.stateChange("event=store_regained kind=$kind lost_ms=${clock.nowMillis() - lost}")
            storeRegained()
        }

        private fun cancel(calls: List<PendingStoreCall>) = calls.forEach { jobs.remove(it)?.cancel() }

        /** Returns the log fields of a call that has ended. */
        private fun fields(pending: PendingStoreCall): String {
            val nowMillis = clock.nowMillis()
            return "kind=$kind call_ms=${nowMillis - pending.sentAtMillis} age_ms=${knowledge.ageMillis(nowMillis)}"
        }
    }

    private inner class WatchedConfiguration :
        WatchedCollection(
            format.configurationKind,
            access.run { schedule(knowledge.configuration, bounds.configurationMillis, random) },
        ) {
        override val isKnown: Boolean get() = fleetView.configurationVersion > 0

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
            access.run { schedule(knowledge.registrations, bounds.drainMillis, random, BATCH_MILLIS) },
        ) {
        override val isKnown: Boolean get() = fleetView.registryLoaded

        override fun apply(snapshot: CollectionSnapshot) =
            fleetView.replaceRegistrations(snapshot.objects, snapshot.revision, STORE)

        override fun apply(changes: CollectionChanges) = fleetView.applyRegistrations(changes.changes, changes.revision)

        override fun storeLost() = registry.storeLost()

        override fun storeRegained() = registry.storeRegained(clock.nowMillis())
    }

    private inner class WatchedEvacuations(lagMillis: Long) :
        WatchedCollection(format.evacuationsKind, access.run { schedule(knowledge.evacuations, lagMillis, random) }) {
        override val isKnown: Boolean get() = fleetView.evacuationsLoaded

        override fun apply(snapshot: CollectionSnapshot) =
            fleetView.replaceEvacuations(snapshot.objects.map { ZoneId(it.name) }.toSet(), snapshot.revision, STORE)

        override fun apply(changes: CollectionChanges) = fleetView.applyEvacuations(changes.changes, changes.revision, STORE)
    }

    private companion object {
        const val STORE = "store"

        /** Batching delay after changes of registrations, in milliseconds; upstreams that start together cost one call. */
        const val BATCH_MILLIS = 250L
    }
}
