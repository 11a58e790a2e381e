package buckthornbay.store

import buckthornbay.core.Clock

/** The machine's monotonic clock, in milliseconds since the first use in this process. */
public object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L
    private val startNanos = System.nanoTime()

    override fun nowMillis(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
}
