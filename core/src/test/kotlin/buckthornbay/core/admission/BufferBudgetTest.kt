package buckthornbay.core.admission

import kotlin.test.Test
import kotlin.test.assertEquals

class BufferBudgetTest {
    private val budget = BufferBudget(maxBytes = 100)
    private val evicted = ArrayList<String>()

    private fun share(name: String, bytes: Long = 0) = budget.share { evicted += name }.apply { resize(bytes) }

    /** A small message that comes when the budget is full must not pay for the large ones. */
    @Test
    fun theLargestShareIsEvictedWhoeverAsksLast() {
        share("large", 60)
        share("middle", 40)
        share("small", 5)
        assertEquals(listOf("large"), evicted)
        assertEquals(45, budget.usedBytes)
    }

    @Test
    fun aShareThatExceedsTheBudgetByItselfIsEvicted() {
        share("small", 5)
        share("endless", 50).resize(101)
        assertEquals(listOf("endless"), evicted)
    }

    @Test
    fun anEvictedShareCountsNoLonger() {
        val endless = share("endless", 101)
        endless.resize(200)
        endless.release()
        assertEquals(0, budget.usedBytes)
        assertEquals(1, budget.evictions)
    }

    @Test
    fun releasedSharesMakeRoom() {
        share("first", 90).release()
        share("second", 90)
        assertEquals(emptyList(), evicted)
    }

    @Test
    fun theNewOwnerIsToldOfTheEviction() {
        val share = share("first", 60)
        share.handOver { evicted += "second owner" }
        share("other", 50)
        assertEquals(listOf("second owner"), evicted)
    }
}
