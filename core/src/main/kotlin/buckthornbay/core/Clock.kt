package buckthornbay.core

/** A monotonic clock; only differences between two readings are meaningful. */
public fun interface Clock {
    /** Returns the current time in milliseconds. */
    public fun nowMillis(): Long
}

/** A [Clock] for tests and simulations that advances only on request. */
public class ManualClock(private var nowMillis: Long = 0) : Clock {
    override fun nowMillis(): Long = nowMillis

    /** Advances the clock by [millis] milliseconds. */
    public fun advance(millis: Long) {
        require(millis >= 0) { "can't advance by $millis ms: the clock is monotonic" }
        nowMillis += millis
    }
}
