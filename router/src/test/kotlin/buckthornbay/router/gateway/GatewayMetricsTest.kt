package buckthornbay.router.gateway

import buckthornbay.core.ManualClock
import buckthornbay.core.request.FailureKind
import kotlin.test.Test
import kotlin.test.assertTrue

/** Tests that metrics have the names that docs/OPERATIONS.md tells operators. */
class GatewayMetricsTest {
    @Test
    fun metricsOfCrashesHaveOtherNamesThanDocumented() {
        val clock = ManualClock(5_000)
        val metrics = GatewayMetrics()
        metrics.upstreamCrashed()
        metrics.attemptFailed(FailureKind.BROKEN_BEFORE_ANSWER)
        metrics.quarantinedParts(mapOf("91bd3f06" to 1_000L), clock)
        clock.advance(500)
        val lines = metrics.scrape().lines()
        for (expected in listOf(
            "buckthornbay_upstream_crashes_total 1.0",
            """buckthornbay_upstream_attempts_failed_total{kind="broken_before_answer"} 1.0""",
            """buckthornbay_quarantined_part_age_seconds{part="91bd3f06"} 4.5""",
        )) {
            assertTrue(expected in lines, "$expected is missing in\n${lines.joinToString("\n")}")
        }
        metrics.quarantinedParts(emptyMap(), clock)
        assertTrue("91bd3f06" !in metrics.scrape())
    }

    @Test
    fun metricsOfLimitsHaveOtherNamesThanDocumented() {
        val metrics = GatewayMetrics()
        metrics.limitedUpstreams(2)
        assertTrue("buckthornbay_limited_upstreams 2.0" in metrics.scrape().lines(), metrics.scrape())
    }
}
