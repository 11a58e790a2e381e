package buckthornbay.core.load

/**
 * What this host believes one engine keeps of shared prompt parts.
 *
 * It answers load in which many requests share long parts: engines that read a part once need not read it again while they
 * keep it. The belief comes from the host's own requests alone, and fades: an engine's memory turns over within seconds at
 * peak load.
 *
 * @param keptMillis how long after its last use a part is taken to be kept, in milliseconds.
 */
public class PrefixCacheModel(private val keptMillis: Long = DEFAULT_KEPT_MILLIS) {
    private val usedAtMillis = LinkedHashMap<String, Long>(INITIAL_PARTS, LOAD_FACTOR, true)

    /** Returns how many tokens at the beginning of [demand]'s prompt need not be read again. */
    public fun cachedTokens(nowMillis: Long, demand: TokenDemand): Int {
        val kept = demand.parts.takeWhile { part -> usedAtMillis[part.id]?.let { nowMillis - it <= keptMillis } == true }
        return minOf(kept.sumOf { it.tokens }, demand.promptTokens)
    }

    /** Notes that the engine reads the prompt of [demand]. */
    public fun noteRead(nowMillis: Long, demand: TokenDemand) {
        demand.parts.forEach { usedAtMillis[it.id] = nowMillis }
        val eldest = usedAtMillis.entries.iterator()
        while (usedAtMillis.size > MAX_PARTS && eldest.hasNext()) {
            eldest.next()
            eldest.remove()
        }
    }

    private companion object {
        /** Time in which an engine at peak load reads as many tokens as it can keep beside the requests that run. */
        const val DEFAULT_KEPT_MILLIS = 4_000L
        const val MAX_PARTS = 2_048
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
