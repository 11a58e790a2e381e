package buckthornbay.core.admission

/**
 * A limit on the bytes that all connections of a host buffer together, in both directions.
 *
 * When the limit is exceeded, the largest share is evicted, whoever asked last: a few messages without end must not cost the
 * small ones of others. An evicted share counts no longer, and its owner is told to drop what it holds.
 *
 * @property maxBytes the limit, in bytes.
 */
public class BufferBudget(public val maxBytes: Long) {
    private val holding = LinkedHashSet<Share>()

    /** Bytes that all shares hold. */
    public var usedBytes: Long = 0
        private set

    /** Number of shares evicted so far. */
    public var evictions: Long = 0
        private set

    /** Creates a share, which holds nothing yet; [onEvicted] is called at most once. */
    public fun share(onEvicted: () -> Unit): Share = Share(onEvicted)

    private fun evictLargest() {
        while (usedBytes > maxBytes) holding.maxBy { it.bytes }.evict()
    }

    /** The part of the budget that one message holds. */
    public inner class Share internal constructor(private var onEvicted: () -> Unit) {
        /** Bytes that the message holds. */
        public var bytes: Long = 0
            private set

        private var isEvicted = false

        /** Records that the message now holds [newBytes] bytes, which may evict this or another share. */
        public fun resize(newBytes: Long) {
            if (isEvicted || newBytes == bytes) return
            set(newBytes)
            evictLargest()
        }

        /** Passes the message to another owner, which is told of an eviction instead. */
        public fun handOver(onEvicted: () -> Unit) {
            this.onEvicted = onEvicted
        }

        /** Records that the message holds nothing any more. */
        public fun release(): Unit = set(0)

        internal fun evict() {
            isEvicted = true
            set(0)
            evictions++
            onEvicted()
        }

        private fun set(newBytes: Long) {
            usedBytes += newBytes - bytes
            bytes = newBytes
            if (newBytes > 0) holding += this else holding -= this
        }
    }
}
