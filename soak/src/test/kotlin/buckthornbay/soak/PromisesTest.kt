package buckthornbay.soak

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Each check of the soak must see the break that it is there for. */
class PromisesTest {
    private val promises = Promises()

    private fun assertBroken() = assertEquals(1, promises.violations().size, promises.violations().toString())

    @Test
    fun aSecondRunIsSeen() {
        promises.sentOnce("a")
        repeat(2) { promises.ran("a") }
        assertBroken()
    }

    @Test
    fun anUntrueNotRunIsSeenAlsoWhenTheRunComesLater() {
        promises.sentOnce("a")
        promises.told("a", Told.NOT_RUN)
        promises.ran("a")
        assertBroken()
    }

    @Test
    fun anotherRequestsAnswerIsSeen() {
        promises.answered("a", "b")
        assertBroken()
    }

    @Test
    fun missingAndDoubledEventsAreSeen() {
        promises.streamed("a", listOf(1, 3), whole = false, lastEvent = 3)
        assertBroken()
    }

    @Test
    fun aCutStreamThatLooksWholeIsSeen() {
        promises.streamed("a", listOf(1, 2), whole = true, lastEvent = 3)
        assertBroken()
    }

    @Test
    fun lateWorkOnALeavingUpstreamAndADroppedRouteAreSeen() {
        promises.reachedLeaving("a", lateMillis = 10)
        promises.servedDroppedRoute("b", lateMillis = 10)
        assertEquals(2, promises.violations().size)
    }

    @Test
    fun whatIsAllowedIsNoBreak() {
        promises.sentOnce("a")
        promises.ran("a")
        promises.told("a", Told.UNKNOWN)
        repeat(2) { promises.ran("repeatable") }
        promises.answered("b", "b")
        promises.streamed("c", listOf(1, 2), whole = false, lastEvent = 3)
        assertTrue(promises.violations().isEmpty())
    }
}
