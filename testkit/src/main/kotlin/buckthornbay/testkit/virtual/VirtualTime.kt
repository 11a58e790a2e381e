package buckthornbay.testkit.virtual

import java.util.PriorityQueue

/** Runs actions in the order of their due times, in milliseconds that pass only here. */
public class VirtualTime {
    private class Entry(val atMillis: Long, val number: Long, val action: () -> Unit)

    private val due = PriorityQueue(compareBy<Entry>({ it.atMillis }, { it.number }))
    private var entryCount = 0L

    /** The present time, in milliseconds. */
    public var nowMillis: Long = 0
        private set

    /** Runs [action] after [delayMillis] milliseconds. */
    public fun after(delayMillis: Long, action: () -> Unit) {
        due += Entry(nowMillis + delayMillis, entryCount++, action)
    }

    /** Runs [action] every [periodMillis] milliseconds, first after [offsetMillis]. */
    public fun every(periodMillis: Long, offsetMillis: Long = periodMillis, action: () -> Unit) {
        after(offsetMillis) {
            action()
            every(periodMillis, periodMillis, action)
        }
    }

    /** Lets time pass until [untilMillis]. */
    public fun runUntil(untilMillis: Long) {
        while (due.isNotEmpty() && due.peek().atMillis <= untilMillis) {
            val entry = due.poll()
            nowMillis = entry.atMillis
            entry.action()
        }
        nowMillis = untilMillis
    }
}
