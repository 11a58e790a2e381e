package buckthornbay.core.load

import buckthornbay.core.RecentEntries

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
    private val usedAtMillis = RecentEntries<String, Long>(MAX_PARTS)

    /** Returns how many tokens at the beginning of [demand]'s prompt need not be read again. */
    public fun cachedTokens(nowMillis: Long, demand: TokenDemand): Int {
        val kept = demand.parts.takeWhile { part -> usedAtMillis[part.id]?.let { nowMillis - it <= keptMillis } == true }
        return minOf(kept.sumOf { it.tokens }, demand.promptTokens)
    }

    /** Notes that the engine reads the prompt of [demand]. */
    public fun recordRead(nowMillis: Long, demand: TokenDemand) {
        demand.parts.forEach { usedAtMillis[it.id] = nowMillis }
    }

    private companion object {
        /** Time in which an engine at peak load reads as many tokens as it can keep beside the requests that run. */
        const val DEFAULT_KEPT_MILLIS = 4_000L
        const val MAX_PARTS = 2_048
    }
}
