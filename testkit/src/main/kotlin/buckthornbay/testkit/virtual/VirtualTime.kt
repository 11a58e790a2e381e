package buckthornbay.testkit.virtual

import java.util.PriorityQueue

/** A discrete-event clock: runs actions in the order of their times and jumps from one to the next. */
public class VirtualTime {
    private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.number }))
    private var eventCount = 0L

    /** The current virtual time, in milliseconds. */
    public var nowMillis: Long = 0
        private set

    /** Schedules [action] to run in [delayMillis] milliseconds; actions of equal times run in the order they were scheduled. */
    public fun after(delayMillis: Long, action: () -> Unit) {
        queue += Event(nowMillis + delayMillis, eventCount++, action)
    }

    /** Schedules [action] to run every [periodMillis] milliseconds, for the first time in [offsetMillis]. */
    public fun every(periodMillis: Long, offsetMillis: Long = periodMillis, action: () -> Unit) {
        after(offsetMillis) {
            action()
            every(periodMillis, periodMillis, action)
        }
    }

    /** Runs all actions up to and including [untilMillis] and sets the clock to it. */
    public fun runUntil(untilMillis: Long) {
        while (queue.isNotEmpty() && queue.peek().atMillis <= untilMillis) {
            val event = queue.poll()
            nowMillis = event.atMillis
            event.action()
        }
        nowMillis = untilMillis
    }
}
