package buckthornbay.store

import buckthornbay.core.Clock

/** The monotonic clock of the JVM, in milliseconds since its first use in this process. */
public object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L
    private val startNanos = System.nanoTime()

    override fun nowMillis(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
}
