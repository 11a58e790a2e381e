package buckthornbay.core.admission

import buckthornbay.core.KnownRed
import org.junit.jupiter.api.extension.ExtendWith
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Workspaces that surge one after the other, the first of which were served more while others left room. */
@ExtendWith(KnownRed::class)
class HeldBackWorkspaceTest {
    @Test
    fun whatAWorkspaceGotEarlierIsNotHeldAgainstIt() {
        for (engines in ENGINES) for (seed in SEEDS) assertFair(engines, seed)
    }

    @Test
    fun workspacesGetTheirSharesAtTwiceTheLoad() {
        for (engines in ENGINES) for (seed in SEEDS) assertFair(engines, seed, load = 2.0)
    }

    @Test
    fun workspacesGetTheirSharesWhileEnginesAreGone() {
        for (engines in ENGINES) for (seed in SEEDS) assertFair(engines, seed, faults = OUTAGES)
    }

    /** A sixth of the hosts end in the middle of the surges and know nothing of the others when they are back. */
    @Test
    fun workspacesGetTheirSharesWhileHostsRestart() {
        for (engines in ENGINES) for (seed in SEEDS) assertFair(engines, seed, restarts = RESTARTS)
    }

    /** Two of the workspaces that surge use one host each, a third one two, and the others all hosts. */
    @Test
    fun workspacesWhoseCallersUseOneHostGetTheirShares() {
        for (hosts in listOf(72, 95)) for (seed in SEEDS) assertFair(UNEVEN_ENGINES, seed, hosts = hosts, hostsOf = ::fewHosts)
        for (seed in SEEDS) assertFair(EVEN_ENGINES, seed, hostsOf = ::fewHosts)
    }

    @Test
    fun noRequestIsRefusedWhileEnginesHaveRoom() {
        for (engines in ENGINES) {
            for (seed in SEEDS) {
                val fleet = fleetOf(engines, seed, load = CALM_LOAD, hostsOf = ::fewHosts, surges = emptyList())
                fleet.run(CALM_SECONDS)
                assertEquals(0, fleet.callerSeconds.sumOf { it.refusals }, "seed $seed, refused requests")
            }
        }
    }

    /** In an overload, what can't be in time any more must not take the place of what can. */
    @Test
    fun mostOfWhatIsServedInAnOverloadIsInTime() {
        for (seed in SEEDS) assertMostInTime(fleetOf(UNEVEN_ENGINES, seed, load = 2.0), "seed $seed, 72 hosts")
    }

    /** The same in a fleet of nine hosts with an eighth of the engines and callers. */
    @Test
    fun mostOfWhatASmallFleetServesInAnOverloadIsInTime() {
        for (seed in SEEDS) {
            val engines = UNEVEN_ENGINES.times(SMALL_FLEET)
            val plan = TrafficPlan(CLASSES.map { it.times(SMALL_FLEET) }, WORKSPACES, { null }, STATED * SMALL_FLEET, SURGES)
            assertMostInTime(SimulatedFleet(engines, plan, seed, hostCount = 9), "seed $seed, 9 hosts")
        }
    }

    private fun assertFair(
        engines: EngineShape,
        seed: Long,
        hosts: Int = SimulatedFleet.HOSTS,
        load: Double = 1.0,
        hostsOf: (Int) -> List<Int>? = { null },
        faults: EngineFaults = EngineFaults(),
        restarts: List<HostRestart> = emptyList(),
    ) {
        val plan = TrafficPlan(CLASSES.map { it.times(load) }, WORKSPACES, hostsOf, STATED, SURGES)
        val fleet = SimulatedFleet(engines, plan, seed, hosts, faults, restarts)
        fleet.run(SECONDS)
        val unfair = unfairWindows(fleet, KNOWN_FROM_SECOND, SECONDS)
        assertTrue(unfair.isEmpty(), "seed $seed, $hosts hosts: ${unfair.joinToString("\n")}")
    }

    private fun assertMostInTime(fleet: SimulatedFleet, case: String) {
        fleet.run(SECONDS)
        val overload = fleet.callerSeconds.subList(KNOWN_FROM_SECOND, SURGES_UNTIL_SECOND)
        val inTime = overload.sumOf { it.inTime }
        val served = inTime + overload.sumOf { it.late }
        assertTrue(inTime >= served * MIN_IN_TIME, "$case: $inTime of $served served requests are in time")
    }

    private fun fleetOf(
        engines: EngineShape,
        seed: Long,
        load: Double,
        hostsOf: (Int) -> List<Int>? = { null },
        surges: List<Surge> = SURGES,
    ) = SimulatedFleet(engines, TrafficPlan(CLASSES.map { it.times(load) }, WORKSPACES, hostsOf, STATED, surges), seed)

    private fun fewHosts(workspace: Int): List<Int>? = when (workspace) {
        4 -> listOf(7)
        2 -> listOf(20)
        5 -> listOf(33, 40)
        else -> null
    }

    private fun TrafficClass.times(load: Double) = TrafficClass(
        name,
        perSecond * load,
        objectiveMillis,
        timeoutMillis,
        sharedTokens,
        sharedParts,
        ownTokens,
        outputTokens,
        spread,
        maxOwnTokens,
    )

    private fun EngineShape.times(part: Double) = EngineShape(
        (count * part).toInt(),
        slots,
        stepMillis,
        prefillTokensPerMilli,
        stepMillisPerSlot,
        firstTokenMillis,
        unevenness,
    )

    private companion object {
        const val WORKSPACES = 30
        const val STATED = 1_700_000.0
        const val SECONDS = 20
        val SEEDS = 1L..3L

        /** From this second on hosts have seen a surge and its end. */
        const val KNOWN_FROM_SECOND = 7
        const val SURGES_UNTIL_SECOND = 18

        /** A load at which all workspaces together ask for about the stated throughput. */
        const val CALM_LOAD = 0.62
        const val CALM_SECONDS = 12

        const val MIN_IN_TIME = 2.0 / 3.0
        const val SMALL_FLEET = 0.125

        /** Prompts whose lengths differ as much as those of long documents and short notes do. */
        const val SPREAD = 1.04
        val CLASSES = listOf(
            TrafficClass("digest", 146.0, 800, 15_000, 5_382, 623, 6_610, outputTokens = 380, SPREAD, 54_600),
            TrafficClass("brief", 176.0, 800, 12_000, 198, 1_121, 628, outputTokens = 290, SPREAD, 3_310),
            TrafficClass("label", 250.0, 1_200, 3_000, 568, 711, 1_800, outputTokens = 20, SPREAD, 6_870),
        )
        val EVEN_ENGINES = EngineShape(42, slots = 32, stepMillis = 3.74, prefillTokensPerMilli = 81.9)
        val UNEVEN_ENGINES = EngineShape(
            42,
            slots = 32,
            stepMillis = 3.74,
            prefillTokensPerMilli = 81.9,
            stepMillisPerSlot = 0.0807,
            firstTokenMillis = 41.0,
            Unevenness(listOf(1.0, 1.0, 1.3), slowShare = 0.15, slowFactor = 2.5, periodMillis = 600),
        )
        val ENGINES = listOf(EVEN_ENGINES, UNEVEN_ENGINES)

        val SURGES = listOf(
            Surge(0, 0.02, 500, 6_500),
            Surge(4, 9.85, 3_500, 11_200),
            Surge(2, 3.25, 9_500, 16_200),
            Surge(1, 6.0, 10_000, 18_500),
            Surge(5, 10.1, 13_500, 18_500),
        )
        val OUTAGES = EngineFaults(
            outages = listOf(
                EngineOutage((0 until 8).toList(), 10_500, 15_200),
                EngineOutage((8 until 18).toList(), 15_500, 17_500),
            ),
        )

        /** Two hosts of each zone. */
        val RESTARTS = listOf(HostRestart((0..5).map { it * 6 + it } + (6..11).map { it * 6 + it - 6 }, 10_800, 13_400))
    }
}
