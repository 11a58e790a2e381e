package buckthornbay.benchmark

import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.WorkspaceId
import buckthornbay.testkit.virtual.FairQueueScheduling
import buckthornbay.testkit.virtual.FlowSpec
import buckthornbay.testkit.virtual.RoundRobinScheduling
import buckthornbay.testkit.virtual.RouterScheduling
import buckthornbay.testkit.virtual.Scheduling
import buckthornbay.testkit.virtual.VirtualRun
import kotlinx.serialization.Serializable

/**
 * One measure of one scheduling.
 *
 * @property value the figure, in the unit that [measure] names.
 * @property target what it is held to, as a text; absent for baselines.
 */
@Serializable
public data class MeasureRow(
    public val measure: String,
    public val scheduling: String,
    public val value: Double,
    public val target: String,
    public val met: Boolean,
)

/** Runs the brief's measures in virtual time. */
internal class Measures(private val state: DesiredState, private val seed: Long) {
    private val scenarios = Scenarios(state)
    private val schedulings: List<() -> Scheduling> = listOf(
        { RouterScheduling() },
        { RoundRobinScheduling() },
        { FairQueueScheduling(central = false) },
        { FairQueueScheduling(central = true) },
    )

    fun all(): List<MeasureRow> = schedulings.flatMap { rowsOf(it) } + crestRows()

    private fun rowsOf(make: () -> Scheduling): List<MeasureRow> {
        val name = make().name
        val uneven = fairness(make, scenarios.unevenBacklog())
        val regional = fairness(make, scenarios.regionalBacklog())
        val flood = ratio(make, scenarios.flood(true), scenarios.flood(false))
        val blocking = ratio(make, scenarios.lookupsBehindBriefings(true), scenarios.lookupsBehindBriefings(false))
        val slowed = slowed(make)
        return listOf(
            MeasureRow("spread of equal shares over 60 s, part", name, uneven.spread, "0.05", uneven.spread <= SPREAD_TARGET),
            MeasureRow(
                "same, backlogged in different regions, part",
                name,
                regional.spread,
                "0.05",
                regional.spread <= SPREAD_TARGET,
            ),
            MeasureRow("largest gap, units a share", name, uneven.gapUnits, "bound", uneven.gapUnits <= uneven.boundUnits),
            MeasureRow("slots busy while work waits, part", name, uneven.utilization, "0.97", uneven.utilization >= USE_TARGET),
            MeasureRow("p99 beside a flood, times that without", name, flood, "1.5", flood <= RATIO_TARGET),
            MeasureRow("p99 of lookups behind briefings, times that without", name, blocking, "1.5", blocking <= RATIO_TARGET),
            MeasureRow("p99 with 2 of 8 slowed fivefold, times that without", name, slowed, "1.5", slowed <= RATIO_TARGET),
            MeasureRow(
                "control, bytes a second and host",
                name,
                uneven.controlBytes,
                "4096",
                uneven.controlBytes <= CONTROL_TARGET,
            ),
        )
    }

    private class Fairness(
        val spread: Double,
        val gapUnits: Double,
        val boundUnits: Double,
        val utilization: Double,
        val controlBytes: Double,
    )

    private fun fairness(make: () -> Scheduling, flows: List<FlowSpec>): Fairness {
        val run = VirtualRun(state, flows, make(), seed)
        val workspaces = flows.map { it.workspace }.distinct()
        var gap = 0.0
        while (run.time.nowMillis < WINDOW_MILLIS) {
            run.time.runUntil(run.time.nowMillis + SAMPLE_MILLIS)
            val gained = workspaces.map { run.normalizedUnits(it) }
            gap = maxOf(gap, gained.max() - gained.min())
        }
        val gained = workspaces.map { run.normalizedUnits(it) }
        val bytes = run.scheduling.controlBytes() * MILLIS_PER_SECOND / WINDOW_MILLIS
        return Fairness((gained.max() - gained.min()) / gained.max(), gap, boundUnits(flows), run.utilization, bytes)
    }

    /** The bound that docs/FAIRNESS.md derives, in cost units a share. */
    private fun boundUnits(flows: List<FlowSpec>): Double {
        val share = state.workspaces.associate { it.id to it.share }
        return flows.map { it.workspace }.distinct().maxOf { boundOf(it, flows, share.getValue(it)) }
    }

    private fun boundOf(workspace: WorkspaceId, flows: List<FlowSpec>, share: Double): Double {
        val own = flows.filter { it.workspace == workspace }
        val slots = state.upstreams.filter { upstream -> own.any { it.pool == upstream.pool } }.sumOf { it.slots }
        return slots * flows.maxOf { it.maxUnits } / share
    }

    private fun ratio(make: () -> Scheduling, loaded: List<FlowSpec>, calm: List<FlowSpec>): Double {
        val first = loaded.first().name
        return p99(make, loaded, first) / maxOf(1.0, p99(make, calm, first))
    }

    private fun p99(make: () -> Scheduling, flows: List<FlowSpec>, flow: String): Double {
        val run = VirtualRun(state, flows, make(), seed)
        run.time.runUntil(SETTLE_MILLIS + WINDOW_MILLIS)
        return run.flows.first { it.spec.name == flow }.percentileMillis(TAIL_PERCENT).toDouble()
    }

    private fun slowed(make: () -> Scheduling): Double {
        val calm = slowedP99(make, factor = 1.0)
        return slowedP99(make, SLOW_FACTOR) / maxOf(1.0, calm)
    }

    private fun slowedP99(make: () -> Scheduling, factor: Double): Double {
        val run = VirtualRun(state, scenarios.steadyLookups(), make(), seed)
        val models = run.upstreams.values.filter { it.upstream.models.isNotEmpty() }.sortedBy { it.upstream.id.value }
        var turn = 0
        run.time.every(SLOW_PERIOD_MILLIS) {
            models.forEach { it.slowFactor = 1.0 }
            repeat(2) { models[turn++ % models.size].slowFactor = factor }
        }
        run.time.every(SLOW_PERIOD_MILLIS, SLOW_PERIOD_MILLIS + SLOW_MILLIS) { models.forEach { it.slowFactor = 1.0 } }
        run.time.runUntil(SETTLE_MILLIS + WINDOW_MILLIS)
        return run.flows.maxOf { it.percentileMillis(TAIL_PERCENT) }.toDouble()
    }

    private fun crestRows(): List<MeasureRow> {
        val served = schedulings.map { make ->
            val run = VirtualRun(state, scenarios.crest(), make(), seed)
            run.time.runUntil(CREST_END_MILLIS)
            val swing = run.flows.first { it.spec.name == "swing" }
            Crest(run.scheduling.name, swing.crestInTime.toDouble() / maxOf(1, swing.crestArrived))
        }
        val limit = served.last().part
        return served.map {
            val part = it.part / limit
            MeasureRow("served in time at the crest, part of central", it.scheduling, part, "0.95", part >= CREST_TARGET)
        }
    }

    private class Crest(val scheduling: String, val part: Double)

    private companion object {
        const val SETTLE_MILLIS = 5_000L
        const val WINDOW_MILLIS = 60_000L
        const val SAMPLE_MILLIS = 100L
        const val SLOW_PERIOD_MILLIS = 20_000L
        const val SLOW_MILLIS = 10_000L
        const val SLOW_FACTOR = 5.0
        const val CREST_END_MILLIS = 60_000L
        const val MILLIS_PER_SECOND = 1_000.0
        const val TAIL_PERCENT = 99.0
        const val SPREAD_TARGET = 0.05
        const val USE_TARGET = 0.97
        const val RATIO_TARGET = 1.5
        const val CONTROL_TARGET = 4_096.0
        const val CREST_TARGET = 0.95
    }
}
