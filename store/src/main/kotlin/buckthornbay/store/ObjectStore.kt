package buckthornbay.store

import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable

/**
 * The platform's object API: named values with versions, conditional writes and watches.
 *
 * Versions rise across the whole store, so a version is also a fencing number. Every call may fail with a [StoreError].
 */
public interface ObjectStore {
    /** Reads the object [name]; null where there is none. */
    public suspend fun read(name: String): Result<StoredObject?, StoreError>

    /** Writes [value] if the object's version is [expectedVersion] (0: it does not exist yet) and returns the new version. */
    public suspend fun write(name: String, value: String, expectedVersion: Long): Result<Long, StoreError>

    /**
     * Waits until the object is newer than [afterVersion] and returns it; null where that does not happen in [timeoutMillis].
     */
    public suspend fun watch(name: String, afterVersion: Long, timeoutMillis: Long): Result<StoredObject?, StoreError>
}

/** A value with the version that its last write got. */
public data class StoredObject(public val version: Long, public val value: String)

/** Why a call to the platform brought nothing. */
public sealed interface StoreError {
    /** The object's version is [currentVersion] and not the expected one; nothing was changed. */
    public data class Conflict(public val currentVersion: Long) : StoreError

    /** Too many calls; nothing was changed. Try again after [retryAfterMillis] milliseconds. */
    public data class RateLimited(public val retryAfterMillis: Long) : StoreError

    /** The value has more than [limitBytes] bytes; nothing was changed. */
    public data class TooLarge(public val limitBytes: Int) : StoreError

    /** The platform can't be reached; nothing was changed. */
    public data class Unavailable(public val reason: String) : StoreError

    /** The changes since the revision that was asked for are not kept any more; list again. */
    public data object HistoryGone : StoreError

    /** The answer is not what the store's protocol says. */
    public data class Malformed(public val reason: String) : StoreError

    /** The reply was lost; the change may have taken effect. Read back to settle it. */
    public data class OutcomeUnknown(public val reason: String) : StoreError
}

/** The platform's list of live and leaving hosts; it lags. */
public fun interface HostList {
    /** Reads the list as the platform knows it now. */
    public suspend fun read(): Result<List<ListedHost>, StoreError>
}

/**
 * One entry of the host list.
 *
 * @property name the host's or upstream's id.
 * @property leaving whether it is about to go and must get no new work.
 */
@Serializable
public data class ListedHost(
    public val name: String,
    public val url: String,
    public val upstream: Boolean = false,
    public val leaving: Boolean = false,
)
