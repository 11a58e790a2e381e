package buckthornbay.core.node

/**
 * Token bucket for the control traffic that one host sends, in bytes per second on the wire.
 *
 * [spend] charges every message sent. Urgent messages are sent even if the bucket is empty; deferrable messages are sent at least
 * [spacingMillis] apart.
 */
public class ControlBudget(private var bytesPerSecond: Long) {
    private var creditBytes = (bytesPerSecond * BURST_SECONDS).toDouble()
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
        val left = creditBytes / (bytesPerSecond * BURST_SECONDS)
        return when {
            left >= RELAXED_FRACTION -> 0
            left <= 0 -> MAX_SPACING_MILLIS
            else -> (MAX_SPACING_MILLIS * (1 - left / RELAXED_FRACTION)).toLong()
        }
    }

    private fun refill(nowMillis: Long) {
        val earned = (nowMillis - refilledAtMillis) * bytesPerSecond * REFILL_FRACTION / MILLIS_PER_SECOND
        creditBytes = minOf(creditBytes + earned, (bytesPerSecond * BURST_SECONDS).toDouble())
        refilledAtMillis = nowMillis
    }

    /** Takes [bytes] that were sent from the bucket, which may become negative. */
    public fun spend(bytes: Long) {
        creditBytes -= bytes
    }

    private companion object {
        const val BURST_SECONDS = 4
        const val RELAXED_FRACTION = 0.5
        const val MAX_SPACING_MILLIS = 1_000L

        /** Fraction of the rate at which the bucket refills; the rest is reserved for urgent messages. */
        const val REFILL_FRACTION = 0.9
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
