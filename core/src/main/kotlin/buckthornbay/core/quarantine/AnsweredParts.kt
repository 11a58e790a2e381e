package buckthornbay.core.quarantine

import org.apache.commons.collections4.bloomfilter.Shape

/**
 * The parts of answered requests, in two filters of fixed size: when the newer one is full, it replaces the older one.
 *
 * A part that is answered again and again is never forgotten, however many others there are.
 *
 * @param maxParts number of parts for which a filter counts as full.
 */
internal class AnsweredParts(private val maxParts: Int = MAX_PARTS) {
    private var newer = PartFilter(SHAPE)
    private var older = PartFilter(SHAPE)
    private var newerCount = 0

    fun add(part: String) {
        val hash = PartHash.of(part)
        if (hash in newer) return
        if (newerCount >= maxParts) {
            older = newer
            newer = PartFilter(SHAPE)
            newerCount = 0
        }
        newer.add(hash)
        newerCount++
    }

    operator fun contains(part: String): Boolean = PartHash.of(part).let { it in newer || it in older }

    private companion object {
        /** 64 KB a filter, of which an eighth of the bits are set when it is full, so that it is wrong for one part in 4,000. */
        val SHAPE: Shape = Shape.fromKM(4, 524_288)
        const val MAX_PARTS = 17_000
    }
}
