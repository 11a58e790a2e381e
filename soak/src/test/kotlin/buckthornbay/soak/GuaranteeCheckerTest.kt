package buckthornbay.soak

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests that each check of the soak detects a violation of its guarantee. */
class GuaranteeCheckerTest {
    private val checker = GuaranteeChecker()

    private fun assertOneViolation() = assertEquals(1, checker.violations().size, checker.violations().toString())

    @Test
    fun detectsSecondExecutionOfNonIdempotentRequest() {
        checker.recordNonIdempotentRequest("a")
        repeat(2) { checker.recordExecution("a") }
        assertOneViolation()
    }

    @Test
    fun detectsExecutionAfterReportedNotRun() {
        checker.recordNonIdempotentRequest("a")
        checker.recordOutcome("a", ReportedOutcome.NOT_RUN)
        checker.recordExecution("a")
        assertOneViolation()
    }

    @Test
    fun detectsResponseOfAnotherRequest() {
        checker.recordSuccess("a", "b")
        assertOneViolation()
    }

    @Test
    fun detectsMissingStreamEvents() {
        checker.recordStream("a", listOf(1, 3), complete = false, lastEvent = 3)
        assertOneViolation()
    }

    @Test
    fun detectsTruncatedStreamThatEndedNormally() {
        checker.recordStream("a", listOf(1, 2), complete = true, lastEvent = 3)
        assertOneViolation()
    }

    @Test
    fun detectsLateRequestsAtDrainingUpstreamAndOnRemovedRoute() {
        checker.recordRequestAtDrainingUpstream("a", overdueMillis = 10)
        checker.recordRequestOnRemovedRoute("b", overdueMillis = 10)
        assertEquals(2, checker.violations().size)
    }

    @Test
    fun acceptsPermittedBehavior() {
        checker.recordNonIdempotentRequest("a")
        checker.recordExecution("a")
        checker.recordOutcome("a", ReportedOutcome.UNKNOWN)
        repeat(2) { checker.recordExecution("repeatable") }
        checker.recordSuccess("b", "b")
        checker.recordStream("c", listOf(1, 2), complete = false, lastEvent = 3)
        assertTrue(checker.violations().isEmpty())
    }
}
