package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import org.apache.commons.rng.simple.RandomSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

class StoreCallScheduleTest {
    private val fleet = List(70) { HostId("host-$it") }
    private val small = fleet.take(9)

    /** Returns the schedule of [host], which knows revision 5 as of 0. */
    private fun schedule(host: HostId, knowledge: CollectionKnowledge = CollectionKnowledge { 1 }): StoreCallSchedule {
        knowledge.confirm(0, revision = 5)
        val times = StoreCallTimes(ChangeLimits(LAG_MILLIS, contactMillis = 3_000))
        return StoreCallSchedule(host, knowledge, times, RandomSource.SPLIT_MIX_64.create(1))
    }

    private fun schedules(hosts: List<HostId> = fleet) = hosts.associateWith { schedule(it) }

    private fun StoreCallSchedule.stepAt(nowMillis: Long, live: List<HostId> = fleet) = next(nowMillis, live, isKnown = true)

    private fun StoreCallSchedule.callAt(nowMillis: Long, live: List<HostId> = fleet) =
        assertIs<StoreStep.Send>(stepAt(nowMillis, live)).call

    private val reliesOnPeers get() = fleet.first { !watchesStore(it, fleet) }

    @Test
    fun fewHostsWatchInALargeFleet() {
        val steps = schedules().values.map { it.stepAt(1_000) }
        assertEquals(StoreCallSettings().watchers, steps.count { it is StoreStep.Send })
    }

    /** The responses come one after the other, from the first to the last host. */
    @Test
    fun allHostsOfASmallFleetWatchInTurn() {
        val waits = small.map { assertIs<StoreCall.Watch>(schedule(it).callAt(0, small).call).waitMillis }.sorted()
        assertEquals(List(9) { LAG_MILLIS / 5 * (it + 1) }, waits)
    }

    @Test
    fun aHostThatKnowsNoRevisionLists() {
        val schedule = schedule(reliesOnPeers)
        schedule.knowledge.forgetRevision()
        assertEquals(StoreCall.ListAll, assertIs<StoreStep.Send>(schedule.next(0, fleet, isKnown = false)).call.call)
    }

    /** Before the first object is written, hosts wait for it and don't ask again and again. */
    @Test
    fun hostsOfAnEmptyStoreWatch() = listOf(small, fleet).forEach { live ->
        val schedule = schedule(reliesOnPeers)
        assertFalse(assertIs<StoreStep.Send>(schedule.next(10, live, isKnown = false)).call.isCheck)
        assertIs<StoreStep.Wait>(schedule.next(20, live, isKnown = false))
    }

    /** The store rejects the selected watchers, or they are partitioned from it, while it still serves all other hosts. */
    @Test
    fun hostsWithoutConfirmationTakeOverWithinTheLag() {
        val others = fleet.filterNot { watchesStore(it, fleet) }
        fun callingAt(age: Long) = others.count { schedule(it).stepAt(age) is StoreStep.Send }
        assertEquals(0, callingAt(LAG_MILLIS / 2))
        val byAge = (LAG_MILLIS / 2..LAG_MILLIS step 10).map(::callingAt)
        assertTrue(StoreCallSettings().backups in byAge, "a few hosts come before all others")
        assertTrue(
            byAge.zipWithNext().all { (before, after) -> after - before <= fleet.size / 4 },
            "they come one after the other",
        )
        assertEquals(others.size, callingAt(LATEST_MILLIS))
    }

    /** A peer may be in contact with the store although this host lacks what it has read there. */
    @Test
    fun aContactOfAPeerDoesNotStopAHostThatHasNotItsVersion() {
        val schedule = schedule(reliesOnPeers)
        schedule.knowledge.receive(3_100, CollectionStatement(version = 2, revision = 9, atMillis = 3_100))
        assertTrue(schedule.callAt(LATEST_MILLIS).isCheck)
    }

    @Test
    fun aHostThatTookOverReliesOnItsPeersAgainWhenTheyConfirmLater() {
        val schedule = schedule(reliesOnPeers)
        val check = schedule.callAt(LATEST_MILLIS)
        schedule.answered(3_201, check, revision = 5, changed = false)
        assertFalse(schedule.callAt(3_210).isCheck)
        schedule.knowledge.receive(4_000, CollectionStatement(version = 1, revision = 6, atMillis = 3_900))
        assertIs<StoreStep.Wait>(schedule.stepAt(4_000))
    }

    @Test
    fun otherHostsWatchWhenWatchersFail() {
        val remaining = fleet.filterNot { watchesStore(it, fleet) }
        assertEquals(
            StoreCallSettings().watchers,
            remaining.count { schedule(it).stepAt(0, remaining) is StoreStep.Send },
        )
    }

    @Test
    fun aHostChecksOnANewConnectionWhileAnOldWatchStillWaits() {
        val schedule = schedule(small.first())
        assertFalse(schedule.callAt(0, small).onNewConnection)
        assertIs<StoreStep.Wait>(schedule.stepAt(LAG_MILLIS / 2, small))
        val check = schedule.callAt(LATEST_MILLIS, small)
        assertTrue(check.isCheck && check.onNewConnection)
        assertEquals(emptyList(), schedule.answered(LATEST_MILLIS + 5, check, revision = 5, changed = false))
        assertIs<StoreStep.Wait>(schedule.stepAt(LATEST_MILLIS + 10, small), "the watch may still be answered")
    }

    @Test
    fun aWatchThatToldNothingOfAChangeIsGivenUp() {
        val schedule = schedule(small.first())
        val watch = schedule.callAt(0, small)
        val check = schedule.callAt(LATEST_MILLIS, small)
        assertEquals(listOf(watch), schedule.answered(LATEST_MILLIS + 5, check, revision = 6, changed = true))
        assertFalse(schedule.callAt(LATEST_MILLIS + 10, small).isCheck)
    }

    @Test
    fun aPeersConfirmationSparesACheck() {
        val schedule = schedule(small.first())
        schedule.callAt(0, small)
        schedule.knowledge.receive(LATEST_MILLIS, CollectionStatement(version = 1, revision = 5, atMillis = LATEST_MILLIS - 200))
        assertIs<StoreStep.Wait>(schedule.stepAt(LATEST_MILLIS, small))
    }

    /** A check that got no response is followed by others, of which a few are under way at once. */
    @Test
    fun aCheckWithoutAResponseIsFollowedByOthers() {
        val schedule = schedule(small.first())
        schedule.callAt(0, small)
        val sent = ArrayList<Pair<Long, StoreStep.Send>>()
        for (nowMillis in LATEST_MILLIS..LATEST_MILLIS + 6_000 step 10) {
            (schedule.stepAt(nowMillis, small) as? StoreStep.Send)?.let { sent += nowMillis to it }
        }
        val pauses = sent.zipWithNext { (before, _), (after, _) -> after - before }
        assertTrue(pauses.all { it in 250..1_200 }, "pauses of $pauses")
        assertEquals(sent.map { it.second.call }.dropLast(3), sent.mapNotNull { it.second.givenUp })
    }

    /** A long watch right after a failure might not be answered either. */
    @Test
    fun aCheckFollowsAWatchThatFailed() {
        val schedule = schedule(small.first())
        val watch = schedule.callAt(0, small)
        schedule.failed(100, watch)
        assertIs<StoreStep.Wait>(schedule.stepAt(101, small))
        assertTrue(schedule.callAt(140, small).isCheck)
    }

    @Test
    fun theStoreDecidesTheBackoffAfterARejectionWithinTheLimits() {
        val schedule = schedule(small.first())
        schedule.failed(100, schedule.callAt(0, small), pauseMillis = 500)
        assertIs<StoreStep.Wait>(schedule.stepAt(590, small))
        val check = schedule.callAt(600, small)
        schedule.failed(700, check, pauseMillis = 60_000)
        assertTrue(schedule.callAt(1_500, small).isCheck)
    }

    private companion object {
        const val LAG_MILLIS = 4_000L

        /** Age at which all hosts have taken over, in milliseconds; the rest of the lag is for the response. */
        const val LATEST_MILLIS = LAG_MILLIS * 4 / 5
    }
}
