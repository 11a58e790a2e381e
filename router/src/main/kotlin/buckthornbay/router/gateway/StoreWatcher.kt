package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.membership.WatchDuty
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
import kotlinx.coroutines.launch
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration.Companion.milliseconds

/** What this host knows of the store's state, and whether it is to watch. */
internal class StoreContact(
    private val duty: WatchDuty,
    private val clock: Clock,
    private val log: DecisionLog,
    val watches: () -> Boolean,
) {
    private var lost = false

    /** The store answered; returns the time of that, in milliseconds. */
    fun answered(): Long {
        val nowMillis = clock.nowMillis()
        duty.heard(nowMillis)
        if (lost) log.stateChange("event=store_regained")
        lost = false
        return nowMillis
    }

    /** Peers that reach the store watch for this host; returns the time, in milliseconds. */
    fun leftToPeers(): Long {
        lost = false
        return clock.nowMillis()
    }

    /** A call of [kind] failed because of [error]. */
    fun failed(kind: String, error: StoreError) {
        if (!lost) log.warning("event=store_lost kind=$kind reason=\"$error\"")
        lost = true
    }

    /** The store forgot the history after [revision]. */
    fun historyGone(kind: String, revision: Long?) = log.stateChange("event=store_history_gone kind=$kind revision=$revision")
}

/**
 * Keeps [knowledge] in step with the store by one watch for the configuration and one for the registrations, while it is this
 * host's duty to watch.
 */
internal class StoreWatcher(
    private val store: ObjectCollections,
    private val format: FleetFormat,
    private val knowledge: FleetKnowledge,
    private val registry: UpstreamRegistry,
    private val contact: StoreContact,
    private val random: UniformRandomProvider,
) {
    fun start(scope: CoroutineScope) {
        scope.launch { follow(ConfigurationTarget()) }
        scope.launch { follow(RegistrationsTarget()) }
    }

    private interface Target {
        val kind: String

        /** Whether this host knows anything of that kind. */
        val isKnown: Boolean

        /** Pause before the watch goes on after a change, in milliseconds. */
        val gatherMillis: Long

        fun listed(snapshot: CollectionSnapshot)

        fun changed(changes: CollectionChanges)
    }

    private suspend fun follow(target: Target) {
        var failures = 0
        var revision: Long? = null
        while (true) {
            if (target.isKnown && !contact.watches()) {
                revision = null
                registry.storeRegained(contact.leftToPeers())
                delay(OFF_DUTY_MILLIS.milliseconds)
                continue
            }
            val next = revision?.let { watch(target, it) } ?: list(target)
            failures = if (next.isOk) 0 else failures + 1
            revision = next.getOrElse { error -> revisionAfter(target, error, revision) }
            if (failures > 0 && !next.isHistoryGone()) delay(backoffMillis(failures).milliseconds)
        }
    }

    private suspend fun list(target: Target): Result<Long, StoreError> = store.list(target.kind).map { snapshot ->
        answered()
        target.listed(snapshot)
        snapshot.revision
    }

    private suspend fun watch(target: Target, revision: Long): Result<Long, StoreError> =
        store.watch(target.kind, revision, WATCH_MILLIS).map { changes ->
            answered()
            target.changed(changes)
            if (changes.changes.isNotEmpty()) delay(target.gatherMillis.milliseconds)
            maxOf(revision, changes.revision)
        }

    /** Returns from where to go on after [error]; null to list anew. */
    private fun revisionAfter(target: Target, error: StoreError, revision: Long?): Long? {
        if (error == StoreError.HistoryGone) {
            contact.historyGone(target.kind, revision)
            return null
        }
        failed(target.kind, error)
        return revision
    }

    private fun Result<Long, StoreError>.isHistoryGone(): Boolean = getError() == StoreError.HistoryGone

    private fun answered() = registry.storeRegained(contact.answered())

    private fun failed(kind: String, error: StoreError) {
        registry.storeLost()
        contact.failed(kind, error)
    }

    private fun backoffMillis(failures: Int): Long {
        val longest = (FIRST_BACKOFF_MILLIS shl (failures - 1).coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(LONGEST_BACKOFF_MILLIS)
        return longest / 2 + (random.nextDouble() * longest / 2).toLong()
    }

    private inner class ConfigurationTarget : Target {
        override val kind = format.configurationKind
        override val isKnown: Boolean get() = knowledge.configurationVersion > 0
        override val gatherMillis = 0L

        override fun listed(snapshot: CollectionSnapshot) = snapshot.objects.filter {
            it.name == format.configurationName
        }.forEach { knowledge.offerConfiguration(it.value, STORE) }

        override fun changed(changes: CollectionChanges) = changes.changes.forEach { change ->
            if (change is CollectionChange.Put && change.stored.name == format.configurationName) {
                knowledge.offerConfiguration(change.stored.value, STORE)
            }
        }
    }

    private inner class RegistrationsTarget : Target {
        override val kind = format.registrationsKind
        override val isKnown: Boolean get() = knowledge.registryKnown
        override val gatherMillis = GATHER_MILLIS

        override fun listed(snapshot: CollectionSnapshot) =
            knowledge.replaceRegistrations(snapshot.objects, snapshot.revision, STORE)

        override fun changed(changes: CollectionChanges) = knowledge.applyRegistrations(changes.changes, changes.revision)
    }

    private companion object {
        const val STORE = "store"

        /**
         * How long a watch waits, in milliseconds; every call is paid for. With the time for an answer it stays within the
         * 5.5 s after an outage's end by which a change must be in force, also where the outage swallowed the watch.
         */
        const val WATCH_MILLIS = 4_000L

        /**
         * Pause after changes of registrations, in milliseconds, so that many upstreams that start together cost one call.
         */
        const val GATHER_MILLIS = 250L

        /**
         * How often a host that does not watch asks whether it should, in milliseconds; the bound for changes is ten times
         * that.
         */
        const val OFF_DUTY_MILLIS = 250L

        /** First pause after a failed call, in milliseconds; ten times the store's usual time for an answer. */
        const val FIRST_BACKOFF_MILLIS = 40L
        const val MAX_DOUBLINGS = 5

        /** Longest pause, in milliseconds, so that a store that is back is noticed well within the bound for changes. */
        const val LONGEST_BACKOFF_MILLIS = 600L
    }
}
