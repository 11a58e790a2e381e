package buckthornbay.core.node

/**
 * Bounds the control traffic that one host sends, in bytes a second on the wire.
 *
 * What must be sent is sent and counted; what can wait asks [isOpen] first.
 */
public class ControlBudget(private var bytesPerSecond: Long) {
    private var creditBytes = (bytesPerSecond * BURST_SECONDS).toDouble()
    private var refilledAtMillis = 0L

    /** Changes the rate. */
    public fun setRate(newBytesPerSecond: Long) {
        bytesPerSecond = newBytesPerSecond
    }

    /** Whether something that can wait may be sent at [nowMillis]. */
    public fun isOpen(nowMillis: Long): Boolean {
        val earned = (nowMillis - refilledAtMillis) * bytesPerSecond / MILLIS_PER_SECOND
        creditBytes = minOf(creditBytes + earned, (bytesPerSecond * BURST_SECONDS).toDouble())
        refilledAtMillis = nowMillis
        return creditBytes > 0
    }

    /** Counts [bytes] that were sent. */
    public fun spend(bytes: Long) {
        creditBytes -= bytes
    }

    private companion object {
        const val BURST_SECONDS = 4
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
