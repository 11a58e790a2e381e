package buckthornbay.store

import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonElement

/** An object of a collection; [value] is what its writer put there. */
public data class CollectionObject(public val name: String, public val value: JsonElement)

/** All objects of a collection as of [revision], which rises with each change in the store. */
public data class CollectionSnapshot(public val objects: List<CollectionObject>, public val revision: Long)

/** One change of a collection. */
public sealed interface CollectionChange {
    /** An object is new or has a new value. */
    public data class Put(public val stored: CollectionObject) : CollectionChange

    /** The object [name] is gone. */
    public data class Removed(public val name: String) : CollectionChange
}

/** The changes of a collection up to [revision], oldest first; none where nothing changed while the watch waited. */
public data class CollectionChanges(public val changes: List<CollectionChange>, public val revision: Long)

/** Collections of named objects in the platform's store, which can be listed and watched. */
public interface ObjectCollections {
    /** Reads all objects of [kind] as of one moment or later. */
    public suspend fun list(kind: String): Result<CollectionSnapshot, StoreError>

    /** Waits up to [waitMillis] for changes of [kind] after [revision]. */
    public suspend fun watch(kind: String, revision: Long, waitMillis: Long): Result<CollectionChanges, StoreError>

    /** Creates the object [name] of [kind], or replaces its value where it exists. */
    public suspend fun put(kind: String, name: String, value: JsonElement): Result<Unit, StoreError>
}
