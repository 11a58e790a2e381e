package buckthornbay.core

/** A source of time in milliseconds that never runs backwards; only differences between two readings mean anything. */
public fun interface Clock {
    /** Returns the present time in milliseconds. */
    public fun nowMillis(): Long
}

/** A [Clock] for tests and measurements that moves only when it is told to. */
public class ManualClock(private var nowMillis: Long = 0) : Clock {
    override fun nowMillis(): Long = nowMillis

    /** Moves the clock forward by [millis] milliseconds. */
    public fun advance(millis: Long) {
        require(millis >= 0) { "a clock can't run backwards; advance by 0 or more milliseconds, not $millis" }
        nowMillis += millis
    }
}
