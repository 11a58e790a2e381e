package buckthornbay.core.admission

import buckthornbay.core.KnownRed
import org.junit.jupiter.api.extension.ExtendWith
import kotlin.test.Test
import kotlin.test.assertTrue

/** Long answers hold the slots of engines, while their prompts alone would leave the engines half idle. */
@ExtendWith(KnownRed::class)
class UnusedSlotsTest {
    /** Requests queued at some engines while others had free slots, because hosts compared engines by prompt tokens only. */
    @Test
    fun requestsDoNotQueueWhileOtherEnginesHaveFreeSlots() {
        for (seed in 1L..3L) {
            val unused = runSeconds(seed).flatMap { it.unusedSlots }.average()
            assertTrue(unused <= ENGINES.count, "seed $seed: $unused slots are free on average while requests queue")
        }
    }

    /** Hosts expected a tenth of the wait, because they took the prefill for the only bottleneck. */
    @Test
    fun hostsExpectTheWaitForASlot() {
        for (seed in 1L..3L) {
            val seconds = runSeconds(seed)
            val waitMillis = seconds.flatMap { it.waitsMillis }.average()
            val expectedMillis = seconds.flatMap { it.expectedWaitsMillis }.average()
            val case = "seed $seed: $expectedMillis ms are expected, $waitMillis ms pass"
            assertTrue(expectedMillis in waitMillis / 2..waitMillis * 2, case)
        }
    }

    /** Runs a fleet with [seed] and returns what happened at the engines, by second. */
    private fun runSeconds(seed: Long): List<SecondOfEngines> {
        val fleet = SimulatedFleet(ENGINES, TrafficPlan(CLASSES, WORKSPACES, ::fewHosts, STATED, emptyList()), seed, HOSTS)
        fleet.run(SECONDS)
        return fleet.engineSeconds.subList(KNOWN_FROM_SECOND, SECONDS)
    }

    private fun fewHosts(workspace: Int): List<Int>? = when (workspace) {
        1 -> listOf(33, 39, 45)
        6 -> listOf(11, 46)
        20 -> listOf(7, 20)
        23 -> listOf(50)
        else -> null
    }

    private companion object {
        const val HOSTS = 77
        const val WORKSPACES = 30
        const val STATED = 2_600_000.0
        const val SECONDS = 14

        /** From this second on hosts know of each other's demand, and as many answers end as begin. */
        const val KNOWN_FROM_SECOND = 4

        val ENGINES = EngineShape(
            78,
            slots = 16,
            stepMillis = 2.77,
            prefillTokensPerMilli = 85.2,
            stepMillisPerSlot = 0.0145,
            firstTokenMillis = 0.75,
        )

        /** A load at which answers hold nine slots of ten. */
        val CLASSES = listOf(
            TrafficClass("job", 205.0, 600, 10_000, 5_382, 914, 6_610, outputTokens = 380, 1.18, 54_600),
            TrafficClass("chat", 515.0, 600, 8_000, 198, 880, 628, outputTokens = 290, 0.8, 3_310),
            TrafficClass("tag", 418.0, 1_000, 2_500, 568, 1_853, 1_800, outputTokens = 22, 1.0, 6_870),
        )
    }
}
