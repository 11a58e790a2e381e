package buckthornbay.store

import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonElement

/** An object of a collection with the [value] that was last written. */
public data class CollectionObject(public val name: String, public val value: JsonElement)

/** All objects of a collection at [revision], which increases with every change in the store. */
public data class CollectionSnapshot(public val objects: List<CollectionObject>, public val revision: Long)

/** A change of a collection. */
public sealed interface CollectionChange {
    /** An object was created or its value replaced. */
    public data class Put(public val stored: CollectionObject) : CollectionChange

    /** The object [name] was deleted. */
    public data class Removed(public val name: String) : CollectionChange
}

/** The changes of a collection up to [revision], oldest first; empty if nothing changed before the watch timed out. */
public data class CollectionChanges(public val changes: List<CollectionChange>, public val revision: Long)

/**
 * How a call is made.
 *
 * @property onNewConnection whether the call needs a connection of its own, because open ones may have gone silent.
 * @property timeoutMillis time limit for the response, in milliseconds, from the end of the call's wait on; null for that of the
 * client.
 */
public data class CallOptions(public val onNewConnection: Boolean = false, public val timeoutMillis: Long? = null)

/** Collections of named objects in the platform's store, which can be listed and watched, one per kind. */
public interface ObjectCollections {
    /** Lists all objects of [kind]; each is at least as recent as the returned revision. */
    public suspend fun list(kind: String, options: CallOptions = CallOptions()): Result<CollectionSnapshot, StoreError>

    /** Waits up to [waitMillis] for changes of [kind] since [revision]. */
    public suspend fun watch(
        kind: String,
        revision: Long,
        waitMillis: Long,
        options: CallOptions = CallOptions(),
    ): Result<CollectionChanges, StoreError>

    /** Creates the object [name] of [kind], or replaces its value if it exists. */
    public suspend fun put(kind: String, name: String, value: JsonElement): Result<Unit, StoreError>

    /** Deletes the object [name] of [kind]; succeeds if there is none. */
    public suspend fun remove(kind: String, name: String): Result<Unit, StoreError>
}
