package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class StoreCallScheduleTest {
    private val fleet = List(70) { HostId("host-$it") }

    private fun schedule(host: HostId) = StoreCallSchedule(host, CollectionKnowledge { 1 }, LAG_MILLIS, longPollMillis = 4_000)
        .apply { recordResponse(atMillis = 0, revision = 5, changed = false) }

    private fun schedules(hosts: List<HostId> = fleet) = hosts.associateWith(::schedule)

    private fun StoreCallSchedule.callAt(nowMillis: Long, live: List<HostId> = fleet) = next(nowMillis, live, isKnown = true)

    @Test
    fun fewHostsWatchInALargeFleet() {
        val calls = schedules().values.map { it.callAt(1_000) }
        assertEquals(StoreCallSettings().watchers, calls.count { it is StoreCall.Watch })
        assertTrue(calls.all { it is StoreCall.Watch || it is StoreCall.Delegate })
    }

    @Test
    fun allHostsOfASmallFleetWatch() {
        val small = fleet.take(9)
        assertTrue(small.all { schedule(it).callAt(0, small) == StoreCall.Watch(5, 4_000) })
    }

    @Test
    fun aHostThatKnowsNoRevisionLists() {
        val schedule = schedule(fleet.first { !watchesStore(it, fleet) })
        schedule.knowledge.forgetRevision()
        assertEquals(StoreCall.ListAll, schedule.next(0, fleet, isKnown = false))
    }

    /** The store rejects the selected watchers, or they are partitioned from it, while it still serves all other hosts. */
    @Test
    fun hostsWithoutConfirmationTakeOverWithinTheLag() {
        val others = schedules().filterKeys { !watchesStore(it, fleet) }.values
        assertTrue(others.all { it.callAt(LAG_MILLIS / 2) is StoreCall.Delegate })
        val ages = LAG_MILLIS / 2..LAG_MILLIS step 10
        val byAge = ages.map { age -> others.count { it.callAt(age) !is StoreCall.Delegate } }
        assertTrue(StoreCallSettings().backups in byAge, "a few hosts come before all others")
        assertTrue(
            byAge.zipWithNext().all { (before, after) ->
                after - before <= fleet.size / 4
            },
            "they come one after the other",
        )
        assertTrue(others.all { it.callAt(LATEST_MILLIS) is StoreCall.Watch })
    }

    /** A peer may be in contact with the store although this host lacks what it has read there. */
    @Test
    fun aContactOfAPeerDoesNotStopAHostThatHasNotItsVersion() {
        val schedule = schedule(fleet.first { !watchesStore(it, fleet) })
        schedule.knowledge.receive(3_100, CollectionStatement(version = 2, revision = 9, atMillis = 3_100))
        assertIs<StoreCall.Watch>(schedule.callAt(LATEST_MILLIS))
    }

    @Test
    fun aHostThatTookOverReliesOnItsPeersAgainWhenTheyConfirmLater() {
        val schedule = schedule(fleet.first { !watchesStore(it, fleet) })
        assertIs<StoreCall.Watch>(schedule.callAt(LATEST_MILLIS))
        schedule.recordResponse(atMillis = 3_201, revision = 5, changed = false)
        assertEquals(StoreCall.Watch(5, 2_000), schedule.callAt(3_210))
        schedule.knowledge.receive(4_000, CollectionStatement(version = 1, revision = 6, atMillis = 3_900))
        assertIs<StoreCall.Delegate>(schedule.callAt(4_000))
    }

    @Test
    fun otherHostsWatchWhenWatchersFail() {
        val remaining = fleet.filterNot { watchesStore(it, fleet) }
        assertEquals(StoreCallSettings().watchers, remaining.count { schedule(it).callAt(0, remaining) is StoreCall.Watch })
    }

    private companion object {
        const val LAG_MILLIS = 4_000L

        /** Age at which all hosts have taken over, in milliseconds; the rest of the lag is for the response. */
        const val LATEST_MILLIS = LAG_MILLIS * 4 / 5
    }
}
