package buckthornbay.core.request

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FleetRetryBudgetTest {
    /** The load: every upstream fails every request, at all nine hosts, for thirty seconds. */
    @Test
    fun allHostsTogetherStayWithinTheBudgetInEveryWindow() {
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
            assertTrue(seen <= allowed, "$seen repetitions before $end ms, $allowed are allowed")
        }
    }

    @Test
    fun aHostWithoutRequestsMayStillRepeatALittle() {
        val budget = FleetRetryBudget(ratio = 0.2, windowMillis = 10_000, slack = 58.0)
        repeat(4) { assertTrue(budget.tryRetry(0, hosts = 9)) }
        assertFalse(budget.tryRetry(0, hosts = 9))
        assertTrue(budget.tryRetry(20_000, hosts = 9))
    }
}
