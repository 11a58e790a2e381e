package buckthornbay.soak

/**
 * Tracks since when the store and each host have been free of injected faults.
 *
 * Guarantees with a time bound apply only to hosts without faults: a host that is paused or has no connection to a working store
 * cannot learn of a change.
 */
internal class FaultFreeTracker(hosts: Int, private val clock: () -> Long) {
    private val hostSinceMillis = arrayOfNulls<Long>(hosts).also { it.fill(0) }
    private var storeSinceMillis: Long? = 0

    /** Records whether the store is free of faults from now on. */
    @Synchronized
    fun setStoreFaultFree(isFaultFree: Boolean) {
        storeSinceMillis = if (isFaultFree) clock() else null
    }

    /** Records whether the host [number] and its link to the store are free of faults from now on. */
    @Synchronized
    fun setHostFaultFree(number: Int, isFaultFree: Boolean) {
        hostSinceMillis[number] = if (isFaultFree) clock() else null
    }

    /** Returns since when the store and the host [number] have been free of faults, in milliseconds; null if either has one. */
    @Synchronized
    fun hostFaultFreeSince(number: Int): Long? {
        val storeSince = storeSinceMillis ?: return null
        return hostSinceMillis[number]?.let { maxOf(it, storeSince) }
    }

    /** Returns since when the store and all hosts have been free of faults, in milliseconds; null if any has one. */
    @Synchronized
    fun allFaultFreeSince(): Long? {
        val hostsSince = hostSinceMillis.indices.map { hostFaultFreeSince(it) }
        return if (hostsSince.any { it == null }) null else hostsSince.maxOf { checkNotNull(it) }
    }
}
