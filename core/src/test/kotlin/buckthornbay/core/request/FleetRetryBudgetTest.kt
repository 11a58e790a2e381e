package buckthornbay.core.request

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FleetRetryBudgetTest {
    /** All upstreams of all nine hosts fail every request for 30 seconds, and each request asks for two retries. */
    @Test
    fun retriesOfAllHostsStayWithinTheBudgetInEveryWindow() {
        val hosts = List(9) { FleetRetryBudget(ratio = 0.2, windowMillis = 10_000, slack = 58.0) }
        val requestsAtMillis = ArrayList<Long>()
        val retriesAtMillis = ArrayList<Long>()
        for (nowMillis in 0L until 30_000L step 100L) {
            for (host in hosts) {
                host.recordRequest(nowMillis)
                requestsAtMillis += nowMillis
                repeat(2) { if (host.tryRetry(nowMillis, hosts.size)) retriesAtMillis += nowMillis }
            }
        }
        for (end in 10_000L..30_000L step 500L) {
            val window = end - 10_000L until end
            val allowed = 0.2 * requestsAtMillis.count { it in window } + 58
            val seen = retriesAtMillis.count { it in window }
            assertTrue(seen <= allowed, "$seen retries in the window before $end ms exceed the limit of $allowed")
        }
    }

    @Test
    fun hostWithoutRequestsMayUseItsShareOfTheSlack() {
        val budget = FleetRetryBudget(ratio = 0.2, windowMillis = 10_000, slack = 58.0)
        repeat(4) { assertTrue(budget.tryRetry(0, hosts = 9)) }
        assertFalse(budget.tryRetry(0, hosts = 9))
        assertTrue(budget.tryRetry(20_000, hosts = 9))
    }
}
