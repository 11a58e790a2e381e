package buckthornbay.core.node

/**
 * Bounds the control traffic that one host sends, in bytes a second on the wire.
 *
 * What must be sent is sent and counted; what can wait keeps the distance that [spacingMillis] asks for.
 */
public class ControlBudget(private var bytesPerSecond: Long) {
    private var creditBytes = (bytesPerSecond * BURST_SECONDS).toDouble()
    private var refilledAtMillis = 0L

    /** Changes the rate. */
    public fun setRate(newBytesPerSecond: Long) {
        bytesPerSecond = newBytesPerSecond
    }

    /**
     * Returns how far messages that can wait must stand apart at [nowMillis], in milliseconds: the less is left, the further.
     */
    public fun spacingMillis(nowMillis: Long): Long {
        refill(nowMillis)
        val left = creditBytes / (bytesPerSecond * BURST_SECONDS)
        return when {
            left >= RELAXED_PART -> 0
            left <= 0 -> MAX_SPACING_MILLIS
            else -> (MAX_SPACING_MILLIS * (1 - left / RELAXED_PART)).toLong()
        }
    }

    private fun refill(nowMillis: Long) {
        val earned = (nowMillis - refilledAtMillis) * bytesPerSecond * WAITING_PART / MILLIS_PER_SECOND
        creditBytes = minOf(creditBytes + earned, (bytesPerSecond * BURST_SECONDS).toDouble())
        refilledAtMillis = nowMillis
    }

    /** Counts [bytes] that were sent. */
    public fun spend(bytes: Long) {
        creditBytes -= bytes
    }

    private companion object {
        const val BURST_SECONDS = 4
        const val RELAXED_PART = 0.5
        const val MAX_SPACING_MILLIS = 1_000L

        /** Part of the rate that is planned with; the rest is for what must be sent beside it. */
        const val WAITING_PART = 0.9
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
