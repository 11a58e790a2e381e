package buckthornbay.core.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EngineLoadTest {
    private val load = EngineLoad { 1.0 / 9 }

    /** Sends requests of 8,000 tokens as fast as [load] allows for [seconds]; returns the number of tokens sent. */
    private fun sentTokens(load: EngineLoad, seconds: Int, startMillis: Long = 0, gapMillis: (Long) -> Long): Double {
        var sent = 0.0
        var nowMillis = startMillis
        val endMillis = startMillis + seconds * 1_000L
        while (nowMillis < endMillis) {
            if (load.hasRoom(nowMillis, 8_000.0)) {
                val id = "request-$nowMillis"
                load.sent(nowMillis, id, 8_000.0)
                load.responseStarted(nowMillis + 130, id, null)
                load.ended(nowMillis + 130, id, SendOutcome.ANSWERED)
                sent += 8_000.0
            }
            load.gapObserved(nowMillis, gapMillis(nowMillis), allowedMillis = 300)
            nowMillis += 10
        }
        return sent
    }

    @Test
    fun theSendingRateFallsWhileStreamGapsAreTooLong() {
        val shortGaps = sentTokens(EngineLoad { 1.0 / 9 }, seconds = 4) { 100 }
        val longGaps = sentTokens(EngineLoad { 1.0 / 9 }, seconds = 4) { 400 }
        assertTrue(longGaps < shortGaps / 3, "sent $longGaps tokens with long gaps, $shortGaps with short ones")
    }

    @Test
    fun theRateRecoversWhenStreamGapsAreShortAgain() {
        sentTokens(load, seconds = 4) { 400 }
        val after = sentTokens(load, seconds = 6, startMillis = 4_000) { 100 }
        assertTrue(after > 6 * 8_000.0, "sent $after tokens in the six seconds afterwards")
    }

    @Test
    fun ownPendingTokensIncreaseTheExpectedWait() {
        val before = load.expectedWaitMillis(0)
        load.sent(0, "a", 12_000.0)
        assertTrue(load.expectedWaitMillis(0) > before + 50)
        load.ended(10, "a", SendOutcome.ABANDONED)
        assertEquals(before, load.expectedWaitMillis(10))
        assertEquals(0, load.inFlight)
    }

    @Test
    fun unexplainedWaitIsAttributedToOtherHostsAndDecays() {
        load.sent(0, "a", 1_000.0)
        load.responseStarted(600, "a", null)
        val seen = load.expectedWaitMillis(600)
        assertTrue(seen > 100, "expected wait $seen ms")
        assertTrue(load.expectedWaitMillis(1_200) < seen)
        assertEquals(0.0, load.expectedWaitMillis(10_000))
    }

    @Test
    fun pendingTokensAreBoundedAtAnEngineThatDoesNotRespond() {
        var nowMillis = 0L
        var sent = 0.0
        repeat(10_000) {
            nowMillis += 5
            if (load.hasRoom(nowMillis, 8_000.0)) {
                load.sent(nowMillis, "request-$it", 8_000.0)
                sent += 8_000.0
            }
        }
        assertTrue(sent <= EngineLoadSettings().maxPendingTokens + 8_000.0, "sent $sent tokens")
        assertFalse(load.hasRoom(nowMillis, 8_000.0))
    }
}
