package buckthornbay.core.request

import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests the decision about responses that only the end of their connection ends. */
class ConnectionEndTest {
    private val end = ConnectionEnd(
        endedAtMillis = 1_000,
        reachability = Reachability.ACCEPTING,
        checkedAtMillis = 1_020,
        isLeaving = false,
        hasRestarted = false,
        breaksAtMillis = emptyList(),
    )
    private val refusing = end.copy(reachability = Reachability.REFUSING)

    private fun assertBrokenOff(end: ConnectionEnd) = assertEquals(ResponseEnd.BROKEN_OFF, end.decide().end, "$end")

    private fun assertUnmarked(end: ConnectionEnd) = assertEquals(ResponseEnd.UNMARKED, end.decide().end, "$end")

    @Test
    fun anUpstreamThatRefusesConnectionsHasCrashedUnlessItIsLeaving() {
        assertBrokenOff(refusing)
        assertUnmarked(refusing.copy(isLeaving = true))
    }

    /** An upstream that ends later may have finished the response before. */
    @Test
    fun aLateRefusalProvesNothing() {
        assertBrokenOff(refusing.copy(checkedAtMillis = 1_000 + ConnectionEnd.MAX_CHECK_MILLIS))
        assertUnmarked(refusing.copy(checkedAtMillis = 1_001 + ConnectionEnd.MAX_CHECK_MILLIS))
    }

    /** An upstream may be out of connections, or this host out of file descriptors. */
    @Test
    fun anUpstreamThatNeitherAcceptsNorRefusesHasNotCrashed() {
        assertUnmarked(end)
        assertUnmarked(end.copy(reachability = Reachability.UNKNOWN))
    }

    @Test
    fun anUpstreamThatHasRestartedHasCrashedUnlessItWasLeaving() {
        assertBrokenOff(end.copy(hasRestarted = true))
        assertUnmarked(end.copy(hasRestarted = true, isLeaving = true))
    }

    @Test
    fun responsesThatBreakOffTogetherTellOfACrashWhateverAcceptsConnections() {
        assertBrokenOff(end.copy(breaksAtMillis = listOf(1_000, 1_002)))
        assertBrokenOff(end.copy(breaksAtMillis = listOf(1_000, 1_002), isLeaving = true))
    }

    /** Single responses break off by themselves. */
    @Test
    fun oneBreakOrEarlierBreaksProveNothing() {
        assertUnmarked(end.copy(breaksAtMillis = listOf(1_000)))
        assertUnmarked(end.copy(breaksAtMillis = listOf(100, 500, 940, 1_000)))
    }
}
