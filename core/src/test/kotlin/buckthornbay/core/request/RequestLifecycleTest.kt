package buckthornbay.core.request

import buckthornbay.protocol.RequestEnd
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RequestLifecycleTest {
    private val ampleBudget = RetryBudget(1.0)

    private fun sending(unrepeatable: Boolean, budget: RetryBudget = ampleBudget) =
        RequestLifecycle(unrepeatable, resumable = false, budget).apply {
            queued()
            dispatched()
        }

    private class Case(val unrepeatable: Boolean, val kind: FailureKind, val expected: FailureAction)

    @Test
    fun actionAfterTheFirstFailureDependsOnWhetherDataWasWritten() {
        val cases = listOf(
            Case(false, FailureKind.NOT_CONNECTED, FailureAction.Retry),
            Case(false, FailureKind.REFUSED_UNREAD, FailureAction.Retry),
            Case(false, FailureKind.BROKEN_BEFORE_ANSWER, FailureAction.Retry),
            Case(false, FailureKind.CALLER_LEFT, FailureAction.End(RequestEnd.FAILED)),
            Case(true, FailureKind.NOT_CONNECTED, FailureAction.Retry),
            Case(true, FailureKind.REFUSED_UNREAD, FailureAction.Retry),
            Case(true, FailureKind.BROKEN_BEFORE_ANSWER, FailureAction.End(RequestEnd.UNKNOWN)),
            Case(true, FailureKind.CALLER_LEFT, FailureAction.End(RequestEnd.UNKNOWN)),
        )
        for (case in cases) {
            val label = "unrepeatable=${case.unrepeatable} ${case.kind}"
            assertEquals(case.expected, sending(case.unrepeatable).failed(case.kind), label)
        }
    }

    @Test
    fun everyFailureSequenceEndsOnceAndAsNotRunOnlyIfNothingWasWritten() {
        val kinds = FailureKind.entries - FailureKind.BROKEN_IN_ANSWER
        val sequences = kinds.flatMap { first -> kinds.flatMap { second -> kinds.map { third -> listOf(first, second, third) } } }
        for (unrepeatable in listOf(false, true)) {
            sequences.forEach { checkSequence(unrepeatable, it) }
        }
    }

    private fun checkSequence(unrepeatable: Boolean, failures: List<FailureKind>) {
        val outcome = run(unrepeatable, failures)
        val writes = outcome.kinds.count { it != FailureKind.NOT_CONNECTED && it != FailureKind.REFUSED_UNREAD }
        assertEquals(writes == 0, outcome.end == RequestEnd.NOT_RUN, "unrepeatable=$unrepeatable $failures")
        if (unrepeatable) assertTrue(writes <= 1, "$failures wrote $writes times")
    }

    private class Outcome(val kinds: List<FailureKind>, val end: RequestEnd)

    private fun run(unrepeatable: Boolean, failures: List<FailureKind>): Outcome {
        val lifecycle = RequestLifecycle(unrepeatable, resumable = false, RetryBudget(1.0))
        val applied = ArrayList<FailureKind>()
        for (kind in failures) {
            lifecycle.queued()
            lifecycle.dispatched()
            applied += kind
            val action = lifecycle.failed(kind)
            if (action is FailureAction.End) return Outcome(applied, action.end)
        }
        lifecycle.queued()
        return Outcome(applied, (lifecycle.refused() as FailureAction.End).end)
    }

    @Test
    fun requestRefusedAfterAWrittenAttemptIsNotReportedAsNotRun() {
        val lifecycle = sending(unrepeatable = false)
        assertEquals(FailureAction.Retry, lifecycle.failed(FailureKind.BROKEN_BEFORE_ANSWER))
        assertEquals(FailureAction.End(RequestEnd.FAILED), lifecycle.refused())
    }

    @Test
    fun interruptedResponseIsResumedIfPossibleAndFailsOtherwise() {
        val resumable = RequestLifecycle(unrepeatable = false, resumable = true, ampleBudget).apply {
            queued()
            dispatched()
            responseStarted()
        }
        repeat(3) { assertEquals(FailureAction.Resume, resumable.failed(FailureKind.BROKEN_IN_ANSWER)) }
        assertEquals(FailureAction.End(RequestEnd.FAILED), resumable.failed(FailureKind.BROKEN_IN_ANSWER))
        val plain = sending(unrepeatable = false).apply { responseStarted() }
        assertEquals(FailureAction.End(RequestEnd.FAILED), plain.failed(FailureKind.BROKEN_IN_ANSWER))
    }

    @Test
    fun retriesStayWithinTheBudget() {
        val budget = RetryBudget(0.1)
        var retries = 0
        repeat(1_000) { if (sending(false, budget).failed(FailureKind.BROKEN_BEFORE_ANSWER) == FailureAction.Retry) retries++ }
        assertTrue(retries <= 1_000 / 10 + 3, "$retries retries for 1,000 requests")
    }
}
