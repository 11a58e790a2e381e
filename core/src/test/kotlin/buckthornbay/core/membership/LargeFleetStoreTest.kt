package buckthornbay.core.membership

import buckthornbay.core.membership.SimulatedStoreFleet.Host
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Tests that changes reach all hosts of a large fleet within the allowed lag while the store doesn't serve some of them.
 *
 * Guards against hosts that take a peer's contact with the store for proof of their own knowledge.
 */
class LargeFleetStoreTest {
    private fun play(hostCount: Int, lagMillis: Long, fault: SimulatedStoreFleet.(Random) -> Unit): SimulatedStoreFleet {
        val random = Random(SEED)
        val fleet = SimulatedStoreFleet(hostCount, lagMillis, SEED)
        // Changes come before the fault, right at its start, and at uneven times until after its end.
        var changeMillis = FAULT_START_MILLIS - 2_000
        while (changeMillis < END_MILLIS) {
            Followed.entries.forEach { followed -> fleet.at(changeMillis) { fleet.change(followed) } }
            changeMillis += 100 + random.nextLong(3 * lagMillis)
        }
        fleet.at(FAULT_START_MILLIS + 100) { Followed.entries.forEach(fleet::change) }
        fleet.at(FAULT_START_MILLIS) { fleet.fault(random) }
        fleet.at(FAULT_END_MILLIS) { fleet.hosts.forEach { it.fault = { StoreFault.NONE } } }
        fleet.runUntil(END_MILLIS)
        return fleet
    }

    private fun SimulatedStoreFleet.assertNoLateChange(judged: (Host) -> Boolean = { true }) {
        val late = lateChanges(WARM_UP_MILLIS, judged = judged)
        assertEquals(emptyList(), late.take(5), "${late.size} late changes")
    }

    private fun SimulatedStoreFleet.fail(failed: Collection<Host>, fault: StoreFault) =
        failed.forEach { host -> host.fault = { fault } }

    @ParameterizedTest
    @CsvSource(textBlock = FAILED_CALLS)
    fun theStoreFailsTheWatchers(hostCount: Int, lagMillis: Long, fault: StoreFault) =
        play(hostCount, lagMillis) { fail(byRank.take(4), fault) }.assertNoLateChange()

    @ParameterizedTest
    @CsvSource(textBlock = FAILED_CALLS)
    fun theStoreFailsARandomThird(hostCount: Int, lagMillis: Long, fault: StoreFault) =
        play(hostCount, lagMillis) { fail(hosts.shuffled(it).take(hostCount / 3), fault) }.assertNoLateChange()

    @ParameterizedTest
    @CsvSource("13, 4000, REJECTED", "13, 2500, SILENT", "72, 4000, SILENT", "95, 4000, REJECTED", "390, 4000, SILENT")
    fun theStoreFailsAllButOne(hostCount: Int, lagMillis: Long, fault: StoreFault) =
        play(hostCount, lagMillis) { fail(hosts.shuffled(it).drop(1), fault) }.assertNoLateChange()

    /** The hosts that the store rejects change every second: four at a time, in the order in which hosts call it. */
    @ParameterizedTest
    @CsvSource("13, 2500", "13, 4000", "72, 4000", "95, 2500", "390, 4000")
    fun theStoreRejectsTheCallersInTurn(hostCount: Int, lagMillis: Long) = play(hostCount, lagMillis) {
        var turn = 0
        every(1_000) {
            val isOver = nowMillis >= FAULT_END_MILLIS
            val rejected = byRank.drop(4 * (turn++ % 3)).take(4)
            hosts.forEach { host -> host.fault = { if (!isOver && host in rejected) StoreFault.REJECTED else StoreFault.NONE } }
        }
    }.assertNoLateChange()

    @ParameterizedTest
    @CsvSource("13, 2500", "13, 4000", "72, 4000", "95, 2500", "390, 4000")
    fun theWatchersFreeze(hostCount: Int, lagMillis: Long) {
        val frozen = HashSet<Host>()
        play(hostCount, lagMillis) {
            frozen += byRank.take(4)
            frozen.forEach { it.frozenUntilMillis = nowMillis + SimulatedStoreFleet.FREEZE_MILLIS }
        }.assertNoLateChange { it !in frozen }
    }

    /** Cut-off watchers still get changes from the store; the others must not wait for them. */
    @ParameterizedTest
    @CsvSource("13, 2500", "13, 4000", "72, 4000", "95, 2500", "390, 4000")
    fun theWatchersAreCutOffFromTheirPeersButNotFromTheStore(hostCount: Int, lagMillis: Long) =
        play(hostCount, lagMillis) { byRank.take(4).forEach { it.cutFromPeers = true } }.assertNoLateChange()

    @ParameterizedTest
    @CsvSource("13, 4000, CONFIGURATION", "13, 4000, REGISTRATIONS", "95, 2500, CONFIGURATION", "390, 4000, REGISTRATIONS")
    fun theWatchersReadOnlyOneCollection(hostCount: Int, lagMillis: Long, failing: Followed) = play(hostCount, lagMillis) {
        byRank.take(4).forEach { host -> host.fault = { if (it == failing) StoreFault.SILENT else StoreFault.NONE } }
    }.assertNoLateChange()

    /** A slow store serves those that it does not reject. */
    @ParameterizedTest
    @CsvSource("13, 2500", "13, 4000", "72, 4000", "95, 4000", "390, 4000")
    fun theStoreIsSlowAndRejectsTheWatchers(hostCount: Int, lagMillis: Long) = play(hostCount, lagMillis) {
        hosts.forEach { it.responseMillis = 80 }
        fail(byRank.take(4), StoreFault.REJECTED)
    }.assertNoLateChange()

    /** Four hosts with waits of four and two seconds made three calls a second. */
    @ParameterizedTest
    @CsvSource("13, 2500", "72, 2500", "95, 2500", "390, 2500", "13, 4000", "95, 4000", "390, 4000")
    fun calmFleetsCallTheStoreNoMoreThanFourWatchersDid(hostCount: Int, lagMillis: Long) {
        val fleet = SimulatedStoreFleet(hostCount, lagMillis, SEED)
        fleet.runUntil(WARM_UP_MILLIS)
        val before = fleet.calls
        fleet.runUntil(WARM_UP_MILLIS + CALM_MILLIS)
        val callsPerSecond = (fleet.calls - before) * 1_000.0 / CALM_MILLIS
        assertTrue(callsPerSecond <= 3.0, "$callsPerSecond calls per second")
    }

    /**
     * Each host watched on its own, for four seconds at a time the configuration and for two the registrations; a change ended
     * these watches of all hosts, on average in the middle.
     */
    @ParameterizedTest
    @CsvSource(
        "7, 2500, 0",
        "9, 2500, 0",
        "12, 2500, 0",
        "9, 4000, 0",
        "7, 2500, 20",
        "9, 2500, 20",
        "12, 2500, 20",
        "9, 4000, 20",
    )
    fun smallFleetsCallTheStoreNoMoreThanBefore(hostCount: Int, lagMillis: Long, changes: Int) {
        val fleet = SimulatedStoreFleet(hostCount, lagMillis, SEED)
        for (change in 0 until changes) {
            val followed = Followed.entries[change % 2]
            fleet.at(WARM_UP_MILLIS + CALM_MILLIS * change / changes) { fleet.change(followed) }
        }
        fleet.runUntil(WARM_UP_MILLIS)
        val before = fleet.calls
        fleet.runUntil(WARM_UP_MILLIS + CALM_MILLIS)
        val most = hostCount * (CALM_MILLIS / 4_000.0 + CALM_MILLIS / 2_000.0 + changes / 2.0)
        assertTrue(fleet.calls - before <= most, "${fleet.calls - before} calls, at most $most allowed")
    }

    /** A store that is back doesn't meet more calls than it allows: 2,000 a second. */
    @ParameterizedTest
    @CsvSource("72, 2500", "390, 2500", "390, 4000")
    fun anOutageIsFollowedByNoBurstOfCalls(hostCount: Int, lagMillis: Long) {
        val fleet = SimulatedStoreFleet(hostCount, lagMillis, SEED)
        fleet.at(FAULT_START_MILLIS) { fleet.fail(fleet.hosts, StoreFault.SILENT) }
        fleet.at(FAULT_START_MILLIS + OUTAGE_MILLIS) { fleet.fail(fleet.hosts, StoreFault.NONE) }
        val calls = (FAULT_START_MILLIS..FAULT_START_MILLIS + 2 * OUTAGE_MILLIS step 1_000).map { millis ->
            fleet.runUntil(millis)
            fleet.calls
        }
        val most = calls.zipWithNext { before, after -> after - before }.max()
        assertTrue(most <= STORE_CALLS_PER_SECOND, "$most calls in a second")
    }

    /**
     * The responses to all watchers arrive in one moment, without a change that would tell them so.
     *
     * Guards against watchers that answer in step from then on, so that the backups call in each of the pauses.
     */
    @ParameterizedTest
    @CsvSource("13, 2500", "72, 2500", "95, 4000")
    fun watchersThatAnswerInStepPartAgain(hostCount: Int, lagMillis: Long) {
        val fleet = SimulatedStoreFleet(hostCount, lagMillis, SEED)
        fleet.runUntil(WARM_UP_MILLIS)
        fleet.hosts.forEach { it.noResponseBeforeMillis = WARM_UP_MILLIS + lagMillis }
        fleet.runUntil(WARM_UP_MILLIS + lagMillis + PARTING_MILLIS)
        val before = fleet.calls
        fleet.runUntil(WARM_UP_MILLIS + lagMillis + PARTING_MILLIS + CALM_MILLIS)
        val callsPerSecond = (fleet.calls - before) * 1_000.0 / CALM_MILLIS
        assertTrue(callsPerSecond <= 3.0, "$callsPerSecond calls per second")
    }

    /** No more than an eighth of a fleet calls the store while the watchers get no response, so that it isn't overloaded. */
    @ParameterizedTest
    @CsvSource("95, 4000", "390, 4000")
    fun fewHostsTakeOverFromWatchers(hostCount: Int, lagMillis: Long) {
        val fleet = SimulatedStoreFleet(hostCount, lagMillis, SEED)
        fleet.runUntil(WARM_UP_MILLIS)
        val before = fleet.calls
        fleet.fail(fleet.byRank.take(3), StoreFault.SILENT)
        fleet.runUntil(WARM_UP_MILLIS + CALM_MILLIS)
        val callsPerSecond = (fleet.calls - before) * 1_000.0 / CALM_MILLIS
        assertTrue(callsPerSecond <= hostCount / 8.0, "$callsPerSecond calls per second")
    }

    private companion object {
        const val SEED = 1L

        /** Hosts, the allowed lag in milliseconds, and what the store does with calls. */
        const val FAILED_CALLS = """
            13, 2500, REJECTED
            13, 4000, SILENT
            72, 2500, SILENT
            72, 4000, REJECTED
            95, 2500, REJECTED
            95, 4000, SILENT
            390, 2500, SILENT
            390, 4000, REJECTED"""
        const val WARM_UP_MILLIS = 6_000L
        const val FAULT_START_MILLIS = 9_000L
        const val FAULT_END_MILLIS = 27_000L
        const val END_MILLIS = 40_000L
        const val CALM_MILLIS = 60_000L
        const val OUTAGE_MILLIS = 6_000L

        /** Time within which watchers that answer in step have parted, in milliseconds. */
        const val PARTING_MILLIS = 10_000L
        const val STORE_CALLS_PER_SECOND = 2_000
    }
}
