package buckthornbay.testkit

import buckthornbay.store.HostList
import buckthornbay.store.ListedHost
import buckthornbay.store.ObjectStore
import buckthornbay.store.StoreError
import buckthornbay.store.StoredObject
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong

/** What a [InMemoryObjectStore] does wrong on purpose. */
public data class StoreFaults(
    /** Refuses every call. */
    public val outage: Boolean = false,
    /** Delays every call by this many milliseconds. */
    public val slowMillis: Long = 0,
    /** Carries out a write and loses its reply, for this many writes. */
    public val lostReplyCount: Int = 0,
)

/** A stand-in for the platform's object API and host list that keeps everything in memory and can be told to fail. */
public class InMemoryObjectStore(private val maxValueBytes: Int = 1_000_000) :
    ObjectStore,
    HostList {
    /** The faults in force; may be replaced at any moment. */
    @Volatile
    public var faults: StoreFaults = StoreFaults()

    /** The host list as it is told now. */
    @Volatile
    public var hosts: List<ListedHost> = emptyList()

    /** How many calls were made, a waiting watch counted as one. */
    public val callCount: AtomicLong = AtomicLong()

    private val mutex = Mutex()
    private val objects = MutableStateFlow<Map<String, StoredObject>>(emptyMap())
    private var lastVersion = 0L

    override suspend fun read(name: String): Result<StoredObject?, StoreError> = guarded { Ok(objects.value[name]) }

    override suspend fun write(name: String, value: String, expectedVersion: Long): Result<Long, StoreError> = guarded {
        if (value.encodeToByteArray().size > maxValueBytes) return@guarded Err(StoreError.TooLarge(maxValueBytes))
        mutex.withLock {
            val current = objects.value[name]?.version ?: 0
            if (current != expectedVersion) return@withLock Err(StoreError.Conflict(current))
            lastVersion++
            objects.value += name to StoredObject(lastVersion, value)
            if (losesThisReply()) Err(StoreError.OutcomeUnknown("the reply was lost")) else Ok(lastVersion)
        }
    }

    override suspend fun watch(name: String, afterVersion: Long, timeoutMillis: Long): Result<StoredObject?, StoreError> =
        guarded {
            val newer = withTimeoutOrNull(timeoutMillis) {
                objects.first { (it[name]?.version ?: 0) > afterVersion }[name]
            }
            Ok(newer)
        }

    override suspend fun read(): Result<List<ListedHost>, StoreError> = guarded { Ok(hosts) }

    private fun losesThisReply(): Boolean {
        if (faults.lostReplyCount <= 0) return false
        faults = faults.copy(lostReplyCount = faults.lostReplyCount - 1)
        return true
    }

    private suspend fun <T> guarded(block: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
        callCount.incrementAndGet()
        if (faults.slowMillis > 0) delay(faults.slowMillis)
        if (faults.outage) return Err(StoreError.Unavailable("the stand-in plays an outage"))
        return block()
    }
}
