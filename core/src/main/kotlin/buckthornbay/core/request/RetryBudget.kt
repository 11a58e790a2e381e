package buckthornbay.core.request

/**
 * Bounds retries to a part of the requests, so that a failing upstream is not buried under repetitions.
 *
 * @param part retries for each request, from 0 to 1.
 */
public class RetryBudget(private val part: Double) : RetryAllowance {
    private var credit = INITIAL_CREDIT

    /** Notes a new request, which earns a part of a retry. */
    override fun recordRequest() {
        credit = minOf(MAX_CREDIT, credit + part)
    }

    /** Takes one retry out of the budget; returns false where none is left. */
    override fun tryRetry(): Boolean {
        if (credit < 1.0) return false
        credit -= 1.0
        return true
    }

    private companion object {
        /** Retries that a workspace and service may make before any request has earned one. */
        const val INITIAL_CREDIT = 3.0

        /** Retries that can be saved up. */
        const val MAX_CREDIT = 20.0
    }
}
