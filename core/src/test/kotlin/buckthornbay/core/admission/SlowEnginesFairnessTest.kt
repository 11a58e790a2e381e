package buckthornbay.core.admission

import buckthornbay.core.KnownRed
import org.junit.jupiter.api.extension.ExtendWith
import kotlin.test.Test
import kotlin.test.assertTrue

/** Shares of workspaces while engines begin less work than the fleet assumes, or have just done so. */
@ExtendWith(KnownRed::class)
class SlowEnginesFairnessTest {
    /** All engines are slow for three seconds; then a workspace surges while others come back from a low. */
    @Test
    fun workspacesGetTheirSharesAfterEnginesWereSlow() {
        for (hosts in listOf(67, 72)) for (seed in 1L..3L) assertOrdered(SLOWER_ENGINES, hosts, seed, EngineFaults(SLOW_SPELL))
    }

    /** The same with engines of the usual speed, a sixth of which crash as well, and twice the load. */
    @Test
    fun workspacesGetTheirSharesAfterEnginesCrashed() {
        val faults = EngineFaults(SLOW_SPELL, listOf(EngineCrash((0 until ENGINES step 6).toList(), 12_000)))
        for (hosts in listOf(67, 72)) for (seed in 1L..3L) assertOrdered(USUAL_ENGINES, hosts, seed, faults, load = 2.2)
    }

    /** A fleet of nine hosts with an eighth of the engines. */
    @Test
    fun workspacesOfASmallFleetGetTheirSharesAfterEnginesWereSlow() {
        for (seed in 1L..3L) assertOrdered(SLOWER_ENGINES.part(SMALL_FLEET), 9, seed, EngineFaults(SLOW_SPELL), SMALL_FLEET)
    }

    /** Asserts the operator's bound, and that requests wait at the hosts, which order them, rather than in the engines. */
    private fun assertOrdered(engines: EngineShape, hosts: Int, seed: Long, faults: EngineFaults, load: Double = 1.0) {
        val classes = USUAL_CLASSES.map { it.times(load) }
        val throughput = STATED_TOKENS_PER_SECOND * engines.count / ENGINES
        val plan = TrafficPlan(classes, workspaces = 30, { null }, throughput, SURGES)
        val fleet = SimulatedFleet(engines, plan, seed, hosts, faults)
        fleet.run(SECONDS)
        val case = "$hosts hosts, seed $seed"
        val unfair = unfairWindows(fleet, CALM_FROM_SECOND, SECONDS)
        assertTrue(unfair.isEmpty(), "$case: ${unfair.joinToString("\n")}")
        val overload = fleet.engineSeconds.subList(OVERLOAD_FROM_SECOND, SURGE_UNTIL_SECOND)
        val waits = overload.flatMap { it.waitsMillis }.sorted()
        assertTrue(waits[waits.size / 2] <= OBJECTIVE_MILLIS / 2, "$case: half of the requests wait ${waits[waits.size / 2]} ms")
        val sent = overload.sumOf { it.sentTokens }
        val begun = overload.sumOf { it.begunTokens }
        assertTrue(sent <= begun * MAX_SENT_TO_BEGUN, "$case: $sent tokens were sent to engines that began $begun")
    }

    private fun EngineShape.part(part: Double) = EngineShape((count * part).toInt(), slots, stepMillis, prefillTokensPerMilli)

    private fun TrafficClass.times(load: Double) = TrafficClass(
        name,
        perSecond * load,
        objectiveMillis,
        timeoutMillis,
        sharedTokens,
        sharedParts,
        ownTokens,
        outputTokens,
    )

    private companion object {
        const val ENGINES = 78
        const val SMALL_FLEET = 0.125
        const val STATED_TOKENS_PER_SECOND = 2_600_000.0
        val USUAL_ENGINES = EngineShape(ENGINES, slots = 12, stepMillis = 2.77, prefillTokensPerMilli = 85.2)
        val SLOWER_ENGINES = EngineShape(ENGINES, slots = 12, stepMillis = 5.5, prefillTokensPerMilli = 36.0)

        const val SECONDS = 22
        const val CALM_FROM_SECOND = 13
        val SLOW_SPELL = listOf(SlowSpell(3.0, 9_500, 12_500))

        /** A second after the surge has begun, when all hosts know of it. */
        const val OVERLOAD_FROM_SECOND = 15
        const val SURGE_UNTIL_SECOND = 21

        /** A workspace that asks for most of what all engines begin, and others that come and go. */
        val SURGES = listOf(
            Surge(0, 0.02, 500, 7_400),
            Surge(11, 7.9, 3_500, 9_500),
            Surge(2, 2.95, 9_500, 15_000),
            Surge(1, 0.05, 11_500, 17_400),
            Surge(13, 50.0, 13_500, 21_000),
        )

        /** The shortest latency objective: work may spend half of it in an engine. */
        const val OBJECTIVE_MILLIS = 600.0

        /** A tenth more than the engines begin. */
        const val MAX_SENT_TO_BEGUN = 1.1
    }
}
