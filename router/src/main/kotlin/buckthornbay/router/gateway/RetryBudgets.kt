package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.request.FleetRetryBudget
import buckthornbay.core.request.RetryAllowance
import buckthornbay.protocol.ServiceId

/** The retry budgets by service, which all hosts of the fleet share. */
internal class RetryBudgets(private val settings: RetrySettings, private val clock: Clock, private val liveHosts: () -> Int) {
    private val budgets = HashMap<ServiceId, FleetRetryBudget>()

    /** Returns the retry allowance of one request for [service], which draws on the budget of that service. */
    fun allowanceFor(service: ServiceId): RetryAllowance = object : RetryAllowance {
        private val budget = budgets.getOrPut(service) { FleetRetryBudget(settings.ratio, settings.windowMillis, settings.slack) }

        override fun recordRequest() = budget.recordRequest(clock.nowMillis())

        override fun tryRetry(): Boolean = budget.tryRetry(clock.nowMillis(), liveHosts())
    }
}

/**
 * Limits on the number of retries of all hosts together.
 *
 * @property ratio retries per request of the window.
 * @property windowMillis length of the window, in milliseconds.
 * @property slack retries per window that are allowed regardless of the number of requests.
 */
internal data class RetrySettings(val ratio: Double, val windowMillis: Long, val slack: Double)
