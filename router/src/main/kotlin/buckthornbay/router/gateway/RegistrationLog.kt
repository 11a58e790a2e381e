package buckthornbay.router.gateway

import buckthornbay.store.CollectionChange
import buckthornbay.store.CollectionObject
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * The registrations that a peer misses.
 *
 * @property whole whether [put] is the whole list, because it is not known any more what changed.
 * @property revision the revision that the peer has after taking them in.
 */
@Serializable
internal data class RegistrationChanges(
    @SerialName("w") val whole: Boolean,
    @SerialName("r") val revision: Long,
    @SerialName("p") val put: Map<String, JsonElement>,
    @SerialName("x") val removed: Set<String>,
) {
    /** Returns the changes as the store would have told them. */
    fun asChanges(): List<CollectionChange> =
        put.map { (name, value) -> CollectionChange.Put(CollectionObject(name, value)) } + removed.map(CollectionChange::Removed)
}

/** The registrations as they were read, with the revision of each, so that a peer is told only what it misses. */
internal class RegistrationLog {
    private class Stored(val value: JsonElement, val revision: Long)

    private val present = LinkedHashMap<String, Stored>()
    private val removed = LinkedHashMap<String, Long>()
    private var completeSince = 0L

    /** Takes in the whole list as of [revision]. */
    fun replaceAll(objects: List<CollectionObject>, revision: Long) {
        present.clear()
        removed.clear()
        objects.forEach { present[it.name] = Stored(it.value, revision) }
        completeSince = revision
    }

    /** Takes in a new value as of [revision]. */
    fun put(stored: CollectionObject, revision: Long) {
        present[stored.name] = Stored(stored.value, revision)
        removed.remove(stored.name)
    }

    /** Takes in that [name] is gone as of [revision]. */
    fun remove(name: String, revision: Long) {
        present.remove(name)
        removed[name] = revision
        while (removed.size > MAX_REMOVED) {
            val eldest = removed.entries.first()
            completeSince = maxOf(completeSince, eldest.value)
            removed.remove(eldest.key)
        }
    }

    /** Returns what is newer than [revision], up to [now]. */
    fun since(revision: Long, now: Long): RegistrationChanges {
        val whole = revision < completeSince
        val put = present.filterValues { whole || it.revision > revision }.mapValues { it.value.value }
        val gone = if (whole) emptySet() else removed.filterValues { it > revision }.keys
        return RegistrationChanges(whole, now, put, gone.toSet())
    }

    private companion object {
        /** Removals that are remembered; a peer that missed more is told the whole list. */
        const val MAX_REMOVED = 128
    }
}
