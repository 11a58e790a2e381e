package buckthornbay.core.load

import buckthornbay.core.LruMap

/**
 * A model of the prefix cache of one engine: the shared prompt parts that it is expected to hold.
 *
 * Many requests share long prompt parts, and an engine skips the prefill of a part that is in its cache. The model is built
 * from this host's own requests only. Entries expire, because an engine's cache turns over within seconds at peak load.
 *
 * @param retentionMillis how long a part is assumed to stay cached after its last use, in milliseconds.
 */
public class PrefixCacheModel(private val retentionMillis: Long = DEFAULT_RETENTION_MILLIS) {
    private val lastUsedAtMillis = LruMap<String, Long>(MAX_PARTS)

    /** Returns the length of the cached prefix of [demand]'s prompt, in tokens. */
    public fun cachedTokens(nowMillis: Long, demand: TokenDemand): Int {
        val hits = demand.parts.takeWhile { part -> lastUsedAtMillis[part.id]?.let { nowMillis - it <= retentionMillis } == true }
        return minOf(hits.sumOf { it.tokens }, demand.promptTokens)
    }

    /** Records that the engine prefills the prompt of [demand]. */
    public fun recordPrefill(nowMillis: Long, demand: TokenDemand) {
        demand.parts.forEach { lastUsedAtMillis[it.id] = nowMillis }
    }

    private companion object {
        /** Time in which an engine at peak load prefills as many tokens as its cache holds beside the running requests. */
        const val DEFAULT_RETENTION_MILLIS = 4_000L
        const val MAX_PARTS = 2_048
    }
}
