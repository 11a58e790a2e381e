package buckthornbay.core.request

/** Says whether a request may be sent once more. */
public interface RetryAllowance {
    /** Notes a new request. */
    public fun recordRequest()

    /** Takes one repetition out of the allowance; returns false where none is left. */
    public fun tryRetry(): Boolean
}

/**
 * This host's part of the repetitions that all hosts together may send to one service.
 *
 * It answers many upstreams failing at once: in every window the repetitions stay below a part of the requests and a fixed
 * number that the live hosts divide evenly.
 *
 * @param ratio repetitions for each request of the window.
 * @param windowMillis length of the window, in milliseconds.
 * @param slack repetitions in a window that need no request, of all hosts together.
 */
public class FleetRetryBudget(private val ratio: Double, private val windowMillis: Long, private val slack: Double) {
    private val requestsAtMillis = ArrayDeque<Long>()
    private val retriesAtMillis = ArrayDeque<Long>()

    /** Notes a request that a caller sent. */
    public fun recordRequest(nowMillis: Long) {
        requestsAtMillis.addLast(nowMillis)
        requestsAtMillis.dropBefore(nowMillis - windowMillis)
    }

    /** Takes one repetition out of the part that one of [hosts] hosts has; returns false where none is left. */
    public fun tryRetry(nowMillis: Long, hosts: Int): Boolean {
        requestsAtMillis.dropBefore(nowMillis - windowMillis)
        retriesAtMillis.dropBefore(nowMillis - windowMillis)
        val allowed = SAFETY * (ratio * requestsAtMillis.size + slack / hosts.coerceAtLeast(1))
        if (retriesAtMillis.size + 1 > allowed) return false
        retriesAtMillis.addLast(nowMillis)
        return true
    }

    private fun ArrayDeque<Long>.dropBefore(limitMillis: Long) {
        while (isNotEmpty() && first() < limitMillis) removeFirst()
    }

    private companion object {
        /** Part of the allowance that is used: hosts that start or vanish make the count of hosts wrong for a while. */
        const val SAFETY = 0.75
    }
}
