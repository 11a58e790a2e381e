package buckthornbay.testkit

import buckthornbay.store.HostList
import buckthornbay.store.ListedHost
import buckthornbay.store.ObjectStore
import buckthornbay.store.StoreError
import buckthornbay.store.StoredObject
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong

/** Faults injected into an [InMemoryObjectStore]. */
public data class StoreFaults(
    /** Fails every call as [StoreError.Unavailable]. */
    public val outage: Boolean = false,
    /** Delay of every call, in milliseconds. */
    public val delayMillis: Long = 0,
    /** Number of upcoming writes that are applied but reported as [StoreError.OutcomeUnknown]. */
    public val lostReplyCount: Int = 0,
)

/** An in-memory stand-in for the platform's object API and host list, with fault injection. */
public class InMemoryObjectStore(private val maxValueBytes: Int = 1_000_000) :
    ObjectStore,
    HostList {
    /** The injected faults; may be replaced at any time. */
    @Volatile
    public var faults: StoreFaults = StoreFaults()

    /** The current host list. */
    @Volatile
    public var hosts: List<ListedHost> = emptyList()

    /** Number of calls received; a watch counts once, however long it waits. */
    public val callCount: AtomicLong = AtomicLong()

    @Volatile
    private var watchesLost = 0
    private val mutex = Mutex()
    private val objects = MutableStateFlow<Map<String, StoredObject>>(emptyMap())
    private var lastVersion = 0L

    override suspend fun read(name: String): Result<StoredObject?, StoreError> = withFaults { Ok(objects.value[name]) }

    override suspend fun write(name: String, value: String, expectedVersion: Long): Result<Long, StoreError> = withFaults {
        if (value.encodeToByteArray().size > maxValueBytes) return@withFaults Err(StoreError.TooLarge(maxValueBytes))
        mutex.withLock {
            val current = objects.value[name]?.version ?: 0
            if (current != expectedVersion) return@withLock Err(StoreError.Conflict(current))
            lastVersion++
            objects.value += name to StoredObject(lastVersion, value)
            if (consumeLostReply()) Err(StoreError.OutcomeUnknown("the reply was lost")) else Ok(lastVersion)
        }
    }

    override suspend fun watch(name: String, afterVersion: Long, timeoutMillis: Long): Result<StoredObject?, StoreError> =
        withFaults {
            val lostBefore = watchesLost
            val newer = withTimeoutOrNull(timeoutMillis) {
                objects.first { (it[name]?.version ?: 0) > afterVersion }[name]
            }
            if (watchesLost > lostBefore) awaitCancellation()
            Ok(newer)
        }

    /** Loses the responses to all watches that are under way. */
    public fun loseWatches() {
        watchesLost++
    }

    override suspend fun read(): Result<List<ListedHost>, StoreError> = withFaults { Ok(hosts) }

    private fun consumeLostReply(): Boolean {
        if (faults.lostReplyCount <= 0) return false
        faults = faults.copy(lostReplyCount = faults.lostReplyCount - 1)
        return true
    }

    private suspend fun <T> withFaults(block: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
        callCount.incrementAndGet()
        if (faults.delayMillis > 0) delay(faults.delayMillis)
        if (faults.outage) return Err(StoreError.Unavailable("simulated outage of the store"))
        return block()
    }
}
