package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StoreWatcherSelectionTest {
    private val fleet = List(70) { HostId("host-$it") }

    private fun selections() = fleet.associateWith { StoreWatcherSelection(it).apply { recordStoreContact(0) } }

    @Test
    fun fewHostsWatchInALargeFleet() {
        assertEquals(
            StoreWatcherSettings().watchers,
            selections().count { (_, selection) -> selection.shouldWatch(1_000, fleet) },
        )
    }

    @Test
    fun allHostsOfASmallFleetWatch() {
        assertTrue(fleet.take(9).all { StoreWatcherSelection(it).shouldWatch(0, fleet.take(9)) })
    }

    /** The store rejects the selected watchers, or they are partitioned from it, while it still serves all other hosts. */
    @Test
    fun hostWithoutRecentContactWatchesTheStoreItself() {
        val selection = selections().values.first { !it.shouldWatch(1_000, fleet) }
        selection.recordPeerContact(nowMillis = 2_000, contactAgeMillis = 500)
        assertTrue(!selection.shouldWatch(7_500, fleet))
        assertTrue(selection.shouldWatch(7_501, fleet))
    }

    @Test
    fun otherHostsTakeOverWhenWatchersFail() {
        val watching = selections().filter { (_, selection) -> selection.shouldWatch(0, fleet) }.keys
        val remaining = fleet - watching
        assertEquals(
            StoreWatcherSettings().watchers,
            remaining.count { StoreWatcherSelection(it).apply { recordStoreContact(0) }.shouldWatch(0, remaining) },
        )
    }
}
