package buckthornbay.soak

/**
 * Since when the store and each host have been undisturbed.
 *
 * Promises with a bound in time hold only for hosts that are: a host that is paused or does not reach a store that answers can't
 * know of a change.
 */
internal class Soundness(hosts: Int, private val clock: () -> Long) {
    private val hostSinceMillis = arrayOfNulls<Long>(hosts).also { it.fill(0) }
    private var storeSinceMillis: Long? = 0

    /** The store was disturbed, or is sound again. */
    @Synchronized
    fun store(sound: Boolean) {
        storeSinceMillis = if (sound) clock() else null
    }

    /** The host [number] or its way to the store was disturbed, or is sound again. */
    @Synchronized
    fun host(number: Int, sound: Boolean) {
        hostSinceMillis[number] = if (sound) clock() else null
    }

    /** Returns since when the store and the host [number] have been sound, in milliseconds; null while they are not. */
    @Synchronized
    fun since(number: Int): Long? {
        val store = storeSinceMillis ?: return null
        return hostSinceMillis[number]?.let { maxOf(it, store) }
    }

    /** Returns since when the store and all hosts have been sound, in milliseconds; null while they are not. */
    @Synchronized
    fun sinceAll(): Long? {
        val since = hostSinceMillis.indices.map { since(it) }
        return if (since.any { it == null }) null else since.maxOf { checkNotNull(it) }
    }
}
