package buckthornbay.router.gateway

import buckthornbay.store.CollectionChange
import buckthornbay.store.CollectionObject
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * Changes of registrations for a peer that has an older revision.
 *
 * @property isFullList whether [put] is the full list, because the history does not reach back to the peer's revision.
 * @property revision revision of the peer after it has applied the changes.
 */
@Serializable
internal data class RegistrationChanges(
    @SerialName("w") val isFullList: Boolean,
    @SerialName("r") val revision: Long,
    @SerialName("p") val put: Map<String, JsonElement>,
    @SerialName("x") val removed: Set<String>,
) {
    /** Converts the changes to the form in which the store delivers them. */
    fun toChanges(): List<CollectionChange> =
        put.map { (name, value) -> CollectionChange.Put(CollectionObject(name, value)) } + removed.map(CollectionChange::Removed)
}

/** Encoded registrations with their revisions and tombstones of removed ones, from which peers get incremental changes. */
internal class RegistrationLog {
    private class Stored(val value: JsonElement, val recordedAtRevision: Long)

    private val current = LinkedHashMap<String, Stored>()
    private val removed = LinkedHashMap<String, Long>()
    private var completeSince = 0L

    /** Replaces all registrations by the list of [revision] and drops the history. */
    fun replaceAll(objects: List<CollectionObject>, revision: Long) {
        current.clear()
        removed.clear()
        objects.forEach { current[it.name] = Stored(it.value, revision) }
        completeSince = revision
    }

    /** Records a registration that was added or changed at [revision]. */
    fun put(stored: CollectionObject, revision: Long) {
        current[stored.name] = Stored(stored.value, revision)
        removed.remove(stored.name)
    }

    /** Records a tombstone for [name], which was removed at [revision]. */
    fun remove(name: String, revision: Long) {
        current.remove(name)
        removed[name] = revision
        while (removed.size > MAX_REMOVED) {
            val oldest = removed.entries.first()
            completeSince = maxOf(completeSince, oldest.value)
            removed.remove(oldest.key)
        }
    }

    /** Returns the changes after [revision] up to [currentRevision]. */
    fun since(revision: Long, currentRevision: Long): RegistrationChanges {
        val isFullList = revision < completeSince
        val put = current.filterValues { isFullList || it.recordedAtRevision > revision }.mapValues { it.value.value }
        val removedNames = if (isFullList) emptySet() else removed.filterValues { it > revision }.keys
        return RegistrationChanges(isFullList, currentRevision, put, removedNames.toSet())
    }

    private companion object {
        /** Largest number of tombstones; a peer that has missed more removals gets the full list. */
        const val MAX_REMOVED = 128
    }
}
