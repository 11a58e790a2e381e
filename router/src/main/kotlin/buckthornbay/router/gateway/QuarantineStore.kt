package buckthornbay.router.gateway

import buckthornbay.core.membership.rendezvousOrder
import buckthornbay.protocol.HostId
import buckthornbay.store.ObjectCollections
import buckthornbay.store.StoreError
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlin.time.Duration.Companion.milliseconds

/**
 * The copy of the quarantine in the platform's store, from which hosts restore it after all of them have failed.
 *
 * Peers tell a host that starts what is quarantined; the store is needed only if none of them knows it any more. For each part,
 * the first hosts by rendezvous hashing write.
 *
 * @param kind kind of the store objects, each of which is named like a quarantined part.
 */
internal class QuarantineStore(
    private val store: ObjectCollections,
    private val kind: String,
    private val self: HostId,
    private val liveHosts: () -> List<HostId>,
    private val log: DecisionLog,
    private val scope: CoroutineScope,
) {
    /** Reads the stored parts and passes them to [onRestored], as soon as the store answers. */
    fun restore(onRestored: (List<String>) -> Unit) {
        scope.launch {
            val stored = retry("list") { store.list(kind) }?.objects.orEmpty()
            if (stored.isNotEmpty()) onRestored(stored.map { it.name })
        }
    }

    /** Stores that [part] is quarantined, if this host is to write it. */
    fun add(part: String) = writeAsSelected(part) { store.put(kind, part, JsonObject(emptyMap())) }

    /** Stores that [part] is no longer quarantined, if this host is to write it. */
    fun remove(part: String) = writeAsSelected(part) { store.remove(kind, part) }

    private fun writeAsSelected(part: String, write: suspend () -> Result<Unit, StoreError>) {
        if (self !in rendezvousOrder(part, liveHosts()).take(WRITERS)) return
        scope.launch { retry("write", write) }
    }

    private suspend fun <T> retry(operation: String, call: suspend () -> Result<T, StoreError>): T? {
        var backoffMillis = FIRST_BACKOFF_MILLIS
        repeat(MAX_ATTEMPTS) {
            val result = call()
            if (result.isOk) return result.getOrElse { null }
            log.warning("event=quarantine_store_failed operation=$operation reason=\"${result.getError()}\"")
            delay(backoffMillis.milliseconds)
            backoffMillis *= 2
        }
        return null
    }

    private companion object {
        /** Number of hosts that write a part; more than one, because a host may be cut off from the store. */
        const val WRITERS = 2

        /** Attempts of an operation; with the doubling backoff they span half a minute of an outage. */
        const val MAX_ATTEMPTS = 8
        const val FIRST_BACKOFF_MILLIS = 125L
    }
}
