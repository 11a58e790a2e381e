package buckthornbay.core.request

/**
 * A token bucket that limits retries to a fraction of the requests, so that retries do not overload a failing upstream.
 *
 * @param ratio retries earned by each request, from 0 to 1.
 */
public class RetryBudget(private val ratio: Double) : RetryAllowance {
    private var credit = INITIAL_CREDIT

    /** Records a new request, which adds a fraction of a retry to the budget. */
    override fun recordRequest() {
        credit = minOf(MAX_CREDIT, credit + ratio)
    }

    /** Consumes one retry; returns false if the budget is exhausted. */
    override fun tryRetry(): Boolean {
        if (credit < 1.0) return false
        credit -= 1.0
        return true
    }

    private companion object {
        /** Retries available to a workspace and service before any request has been recorded. */
        const val INITIAL_CREDIT = 3.0

        /** Maximum number of retries that can accumulate. */
        const val MAX_CREDIT = 20.0
    }
}
