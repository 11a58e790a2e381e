package buckthornbay.core.admission

import buckthornbay.protocol.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FairQueueTest {
    private val accounts = FleetAccounts(4_000.0)
    private val queue = FairQueue<String>(accounts)
    private val first = WorkspaceId("first")
    private val second = WorkspaceId("second")

    private fun waiting(id: String, workspace: WorkspaceId, rank: WaitingRank = WaitingRank.DUE, arrivedAtMillis: Long = 0) =
        QueuedRequest(id, workspace, rank, arrivedAtMillis, arrivedAtMillis + 500, id)

    private fun placeAll(): List<String> {
        val order = ArrayList<String>()
        queue.placeWhile(0) { queue.remove(it) && order.add(it.id) }
        return order
    }

    @Test
    fun theWorkspaceWithTheLeastRecentWorkGoesFirst() {
        accounts.charge(0, first, 10_000.0)
        queue.add(waiting("a", first))
        queue.add(waiting("b", second, arrivedAtMillis = 5))
        assertEquals(listOf("b", "a"), placeAll())
    }

    @Test
    fun requestsWithinTheirShareGoBeforeThoseBeyondIt() {
        accounts.charge(0, first, 10_000.0)
        queue.add(waiting("beyond", second, WaitingRank.BEYOND_SHARE))
        queue.add(waiting("within", first))
        assertEquals(listOf("within", "beyond"), placeAll())
    }

    @Test
    fun aRequestThatDoesNotFitCausesNoHeadOfLineBlocking() {
        queue.add(waiting("large", first))
        queue.add(waiting("small", second))
        val placed = ArrayList<String>()
        queue.placeWhile(0) { waiting -> (waiting.id == "small" && queue.remove(waiting)).also { if (it) placed += waiting.id } }
        assertEquals(listOf("small"), placed)
        assertEquals(1, queue.size)
        assertEquals(setOf(first), queue.workspacesWaitingSince(0))
    }

    @Test
    fun removeAllEmptiesTheQueue() {
        val waiting = waiting("a", first)
        queue.add(waiting)
        assertEquals(listOf(waiting), queue.removeAll())
        assertEquals(emptyList(), queue.removeAll())
        assertFalse(queue.remove(waiting))
        assertTrue(queue.size == 0)
    }

    /** Upstreams that state few requests per second can't serve a long queue before its requests time out. */
    @Test
    fun requestsThatCannotBePlacedInTimeStayQueued() {
        val beyondShare = waiting("b2", second, WaitingRank.BEYOND_SHARE)
        val requests = (1..4).map { waiting("a$it", first) } + waiting("b1", second) + beyondShare
        requests.forEach(queue::add)
        accounts.charge(0, second, 10_000.0)
        assertEquals(listOf("a4", "b2"), queue.unservable(0, placementsPerSecond = 6.0).map { it.id })
        assertEquals(requests.map { it.id }, queue.unservable(0, placementsPerSecond = 0.0).map { it.id })
        assertEquals(emptyList(), queue.unservable(0, placementsPerSecond = 100.0))
    }

    /** A workspace with a long queue must not take the turns of others. */
    @Test
    fun theOnlyRequestOfAWorkspaceIsRefusedBehindTheQueueOfAnother() {
        repeat(10) { queue.add(waiting("a$it", first)) }
        queue.add(waiting("b", second))
        accounts.charge(0, second, 10_000.0)
        assertFalse("b" in queue.unservable(0, placementsPerSecond = 2.0).map { it.id })
    }
}
