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
 * The copy of the quarantine in the platform's store, for hosts that can't learn it from peers: after all hosts have failed, and
 * while a host reaches none of them.
 *
 * For each part, the first hosts by rendezvous hashing write. Hosts read when they start and after they have seen a crash.
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
    private var reading = false

    /** Reads the stored parts and passes them to [onRead], as soon as the store answers; does nothing while it is reading. */
    fun read(onRead: (List<String>) -> Unit) {
        if (reading) return
        reading = true
        scope.launch {
            val stored = retry("list") { store.list(kind) }?.objects.orEmpty()
            reading = false
            if (stored.isNotEmpty()) onRead(stored.map { it.name })
        }
    }

    /** Reads the stored parts like [read], after the time in which hosts that saw the same crash write what they blame for it. */
    fun readAfterCrash(onRead: (List<String>) -> Unit) {
        scope.launch {
            delay(WRITE_MILLIS.milliseconds)
            read(onRead)
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

        /** Time from a crash until the parts that it is blamed on are stored, in milliseconds; several responses of the store. */
        const val WRITE_MILLIS = 300L

        /** Attempts of an operation; with the doubling backoff they span half a minute of an outage. */
        const val MAX_ATTEMPTS = 8
        const val FIRST_BACKOFF_MILLIS = 125L
    }
}
