package buckthornbay.core.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PlainLoadTest {
    @Test
    fun reportedQueuesShrinkTheWindowToOneRequest() {
        val load = PlainLoad(slots = 6)
        var nowMillis = 0L
        repeat(20) {
            nowMillis += 250
            load.sent(nowMillis, "request-$it", 1.0)
            load.responseStarted(nowMillis, "request-$it", LoadReport(running = 6, waiting = 12, slots = 6, slowdown = 1.0))
            load.ended(nowMillis, "request-$it", SendOutcome.ANSWERED)
        }
        assertTrue(load.hasRoom(nowMillis, 1.0), "one request is always allowed")
        load.sent(nowMillis, "one", 1.0)
        assertFalse(load.hasRoom(nowMillis, 1.0))
    }

    @Test
    fun reportedRequestsOfOtherHostsDecay() {
        val load = PlainLoad(slots = 6)
        load.sent(0, "a", 1.0)
        load.responseStarted(0, "a", LoadReport(running = 6, waiting = 6, slots = 6, slowdown = 1.0))
        load.ended(0, "a", SendOutcome.ANSWERED)
        assertTrue(load.expectedWaitMillis(0) > 0)
        assertEquals(0.0, load.expectedWaitMillis(1_000))
    }
}
