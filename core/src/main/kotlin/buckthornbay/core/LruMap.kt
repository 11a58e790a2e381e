package buckthornbay.core

/** A map of bounded size that evicts the least recently used entry beyond [maxEntries]. */
internal class LruMap<K, V>(private val maxEntries: Int) : LinkedHashMap<K, V>(INITIAL_ENTRIES, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > maxEntries

    private companion object {
        const val INITIAL_ENTRIES = 64
        const val LOAD_FACTOR = 0.75f
    }
}
