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
        queue.placeWhile(0) { order.add(it.id) }
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
        queue.placeWhile(0) { waiting -> (waiting.id == "small").also { if (it) placed += waiting.id } }
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
}
