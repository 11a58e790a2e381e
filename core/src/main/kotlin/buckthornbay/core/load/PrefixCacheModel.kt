package buckthornbay.core.load

/**
 * What this host believes one engine keeps of shared prompt parts.
 *
 * It answers load in which many requests share long parts: engines that read a part once need not read it again while they keep
 * it. The belief comes from the host's own requests alone; the least recently used parts go first, as in the engine.
 *
 * @param capacityTokens tokens of shared parts that are taken to stay in the engine's memory.
 */
public class PrefixCacheModel(private val capacityTokens: Long) {
    private val parts = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var keptTokens = 0L

    /** Returns how many tokens at the beginning of [demand]'s prompt need not be read again. */
    public fun cachedTokens(demand: TokenDemand): Int {
        var tokens = 0
        for (part in demand.parts) {
            if (part.id !in parts) break
            tokens += part.tokens
        }
        return minOf(tokens, demand.promptTokens)
    }

    /** Notes that the engine reads the prompt of [demand]. */
    public fun noteRead(demand: TokenDemand) {
        for (part in demand.parts) {
            val before = parts.put(part.id, part.tokens)
            keptTokens += part.tokens - (before ?: 0)
        }
        val eldest = parts.entries.iterator()
        while (keptTokens > capacityTokens && eldest.hasNext()) {
            keptTokens -= eldest.next().value
            eldest.remove()
        }
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
