package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StoreWatcherSelectionTest {
    private val fleet = List(70) { HostId("host-$it") }

    private fun duties() = fleet.associateWith { StoreWatcherSelection(it).apply { recordStoreContact(0) } }

    @Test
    fun aFewHostsWatchForALargeFleet() {
        assertEquals(StoreWatcherSettings().watchers, duties().count { (_, duty) -> duty.shouldWatch(1_000, fleet) })
    }

    @Test
    fun allHostsOfASmallFleetWatch() {
        assertTrue(fleet.take(9).all { StoreWatcherSelection(it).shouldWatch(0, fleet.take(9)) })
    }

    /** The fault: the store turns the watching hosts away, or they are cut off, and serves all others. */
    @Test
    fun aHostThatHearsOfNoContactWatchesItself() {
        val duty = duties().values.first { !it.shouldWatch(1_000, fleet) }
        duty.recordPeerContact(nowMillis = 2_000, contactAgeMillis = 500)
        assertTrue(!duty.shouldWatch(7_500, fleet))
        assertTrue(duty.shouldWatch(7_501, fleet))
    }

    @Test
    fun othersTakeOverWhenWatchersDie() {
        val watching = duties().filter { (_, duty) -> duty.shouldWatch(0, fleet) }.keys
        val left = fleet - watching
        assertEquals(StoreWatcherSettings().watchers, left.count { StoreWatcherSelection(it).apply { recordStoreContact(0) }.shouldWatch(0, left) })
    }
}
