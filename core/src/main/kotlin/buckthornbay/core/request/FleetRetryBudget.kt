package buckthornbay.core.request

/** A budget that decides whether a request may be retried. */
public interface RetryAllowance {
    /** Records a new request. */
    public fun recordRequest()

    /** Consumes one retry; returns false if the allowance is exhausted. */
    public fun tryRetry(): Boolean
}

/**
 * This host's share of a fleet-wide retry budget for one service.
 *
 * The budget prevents a retry storm when many upstreams fail at once. Within a sliding window, retries are limited to a fraction
 * of the requests plus a fixed number that is divided evenly among the live hosts.
 *
 * @param ratio retries allowed per request in the window.
 * @param windowMillis length of the sliding window, in milliseconds.
 * @param slack retries per window allowed to all hosts together regardless of the number of requests.
 */
public class FleetRetryBudget(private val ratio: Double, private val windowMillis: Long, private val slack: Double) {
    private val requestsAtMillis = ArrayDeque<Long>()
    private val retriesAtMillis = ArrayDeque<Long>()

    /** Records a new request from a caller. */
    public fun recordRequest(nowMillis: Long) {
        requestsAtMillis.addLast(nowMillis)
        requestsAtMillis.dropBefore(nowMillis - windowMillis)
    }

    /** Consumes one retry from this host's share of the budget of [hosts] hosts; returns false if the share is exhausted. */
    public fun tryRetry(nowMillis: Long, hosts: Int): Boolean {
        requestsAtMillis.dropBefore(nowMillis - windowMillis)
        retriesAtMillis.dropBefore(nowMillis - windowMillis)
        val allowed = SAFETY_FACTOR * (ratio * requestsAtMillis.size + slack / hosts.coerceAtLeast(1))
        if (retriesAtMillis.size + 1 > allowed) return false
        retriesAtMillis.addLast(nowMillis)
        return true
    }

    private fun ArrayDeque<Long>.dropBefore(limitMillis: Long) {
        while (isNotEmpty() && first() < limitMillis) removeFirst()
    }

    private companion object {
        /** Fraction of the budget that may be used; the host count is temporarily wrong while hosts start or disappear. */
        const val SAFETY_FACTOR = 0.75
    }
}
