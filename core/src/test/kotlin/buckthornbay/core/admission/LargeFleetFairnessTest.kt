package buckthornbay.core.admission

import buckthornbay.core.KnownRed
import org.junit.jupiter.api.extension.ExtendWith
import kotlin.test.Test
import kotlin.test.assertTrue

/** Shares of workspaces in fleets of some 70 hosts whose callers are unevenly spread over the hosts. */
@ExtendWith(KnownRed::class)
class LargeFleetFairnessTest {
    /** The callers of one workspace use one host while another workspace asks all hosts for more than all engines can serve. */
    @Test
    fun aWorkspaceWhoseCallersUseOneHostGetsItsShare() {
        for (seed in 1L..3L) assertFair(MANY_ENGINES, planWith { if (it == 1) listOf(7) else null }, seed)
    }

    /** The same with fewer and larger engines. */
    @Test
    fun aWorkspaceWhoseCallersUseOneHostGetsItsShareOfLargeEngines() {
        for (seed in 1L..4L) assertFair(LARGE_ENGINES, planWith { if (it == 1) listOf(7) else null }, seed)
    }

    /** The callers of three workspaces that surge use the hosts of one zone. */
    @Test
    fun workspacesWhoseCallersUseOneZoneGetTheirShares() {
        val zone = (0 until SimulatedFleet.HOSTS).filter { it % SimulatedFleet.ZONES == 2 }
        val surges = SURGES + Surge(2, 4.0, 6_500, 16_000) + Surge(3, 5.0, 7_000, 16_000)
        for (seed in 4L..6L) assertFair(LARGE_ENGINES, planWith(surges) { if (it in 1..3) zone else null }, seed)
    }

    private fun assertFair(engines: EngineShape, plan: TrafficPlan, seed: Long) {
        val fleet = SimulatedFleet(engines, plan, seed)
        fleet.run(SECONDS)
        val unfair = unfairWindows(fleet, 0, SECONDS)
        assertTrue(unfair.isEmpty(), "seed $seed: ${unfair.joinToString("\n")}")
    }

    private companion object {
        const val SECONDS = 16
        val MANY_ENGINES = EngineShape(count = 78, slots = 12, stepMillis = 2.77, prefillTokensPerMilli = 85.2)
        val LARGE_ENGINES = EngineShape(count = 42, slots = 32, stepMillis = 3.74, prefillTokensPerMilli = 81.9)
        val SURGES = listOf(Surge(0, 12.0, 6_000, 16_000), Surge(1, 3.0, 7_000, 16_000))

        fun planWith(surges: List<Surge> = SURGES, hostsOfWorkspace: (Int) -> List<Int>?) =
            TrafficPlan(USUAL_CLASSES, workspaces = 30, hostsOfWorkspace, tokensPerSecond = 2_600_000.0, surges)
    }
}
