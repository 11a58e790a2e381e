package buckthornbay.core.node

/**
 * A token bucket for the control traffic that one host sends, in bytes per second on the wire.
 *
 * [spend] charges every message sent. Urgent messages are sent even if the bucket is empty; deferrable messages are sent at least
 * [spacingMillis] apart.
 */
public class ControlBudget(private var bytesPerSecond: Long) {
    private var availableBytes = (bytesPerSecond * BURST_SECONDS).toDouble()
    private var refilledAtMillis = 0L

    /** Sets the rate to [newBytesPerSecond] bytes per second. */
    public fun setRate(newBytesPerSecond: Long) {
        bytesPerSecond = newBytesPerSecond
    }

    /**
     * Returns the minimum interval between deferrable messages at [nowMillis], in milliseconds; it grows as the bucket empties.
     */
    public fun spacingMillis(nowMillis: Long): Long {
        refill(nowMillis)
        val fillLevel = availableBytes / (bytesPerSecond * BURST_SECONDS)
        return when {
            fillLevel >= UNTHROTTLED_FRACTION -> 0
            fillLevel <= 0 -> MAX_SPACING_MILLIS
            else -> (MAX_SPACING_MILLIS * (1 - fillLevel / UNTHROTTLED_FRACTION)).toLong()
        }
    }

    private fun refill(nowMillis: Long) {
        val refilledBytes = (nowMillis - refilledAtMillis) * bytesPerSecond * REFILL_FRACTION / MILLIS_PER_SECOND
        availableBytes = minOf(availableBytes + refilledBytes, (bytesPerSecond * BURST_SECONDS).toDouble())
        refilledAtMillis = nowMillis
    }

    /** Takes [bytes] that were sent from the bucket, which may become negative. */
    public fun spend(bytes: Long) {
        availableBytes -= bytes
    }

    private companion object {
        const val BURST_SECONDS = 4

        /** Fill level of the bucket, from 0 to 1, above which deferrable messages need no interval. */
        const val UNTHROTTLED_FRACTION = 0.5
        const val MAX_SPACING_MILLIS = 1_000L

        /** Fraction of the rate at which the bucket refills; the rest is reserved for urgent messages. */
        const val REFILL_FRACTION = 0.9
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
