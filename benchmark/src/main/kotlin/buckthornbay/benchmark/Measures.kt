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
 * The result of one measure for one scheduling policy.
 *
 * @property measure label of the measure, with the unit of [value].
 * @property value the measured value, in the unit that [measure] names.
 * @property target the target that the router's scheduling must meet, as text; `bound` if it is derived from the scenario.
 * @property met whether [value] meets the target.
 */
@Serializable
public data class MeasureRow(
    public val measure: String,
    public val scheduling: String,
    public val value: Double,
    public val target: String,
    public val met: Boolean,
)

/** The measures of the router's scheduling and of the baselines, taken in virtual time. */
internal class Measures(private val state: DesiredState, private val seed: Long) {
    private val scenarios = Scenarios(state)
    private val schedulings: List<() -> Scheduling> = listOf(
        { RouterScheduling() },
        { RoundRobinScheduling() },
        { FairQueueScheduling(central = false) },
        { FairQueueScheduling(central = true) },
    )

    fun all(): List<MeasureRow> = schedulings.flatMap { measureScheduling(it) } + peakRows()

    private fun measureScheduling(newScheduling: () -> Scheduling): List<MeasureRow> {
        val name = newScheduling().name
        val uneven = fairness(newScheduling, scenarios.unevenBacklog())
        val regional = fairness(newScheduling, scenarios.regionalBacklog())
        val flood = p99Ratio(newScheduling, scenarios.flood(true), scenarios.flood(false))
        val blocking = p99Ratio(newScheduling, scenarios.lookupsBehindBriefings(true), scenarios.lookupsBehindBriefings(false))
        val slowed = slowedRatio(newScheduling)
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
            MeasureRow("slots busy while work waits, part", name, uneven.utilization, "0.97", uneven.utilization >= BUSY_TARGET),
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

    private fun fairness(newScheduling: () -> Scheduling, flows: List<FlowSpec>): Fairness {
        val run = VirtualRun(state, flows, newScheduling(), seed)
        val workspaces = flows.map { it.workspace }.distinct()
        var gap = 0.0
        while (run.time.nowMillis < WINDOW_MILLIS) {
            run.time.runUntil(run.time.nowMillis + SAMPLE_MILLIS)
            val served = workspaces.map { run.normalizedUnits(it) }
            gap = maxOf(gap, served.max() - served.min())
        }
        val served = workspaces.map { run.normalizedUnits(it) }
        val bytes = run.scheduling.controlBytes() * MILLIS_PER_SECOND / WINDOW_MILLIS
        return Fairness((served.max() - served.min()) / served.max(), gap, boundUnits(flows), run.utilization, bytes)
    }

    /** Returns the bound on the gap between workspaces that docs/FAIRNESS.md derives, in cost units per unit of share. */
    private fun boundUnits(flows: List<FlowSpec>): Double {
        val shares = state.workspaces.associate { it.id to it.share }
        return flows.map { it.workspace }.distinct().maxOf { workspaceBound(it, flows, shares.getValue(it)) }
    }

    private fun workspaceBound(workspace: WorkspaceId, flows: List<FlowSpec>, share: Double): Double {
        val own = flows.filter { it.workspace == workspace }
        val slots = state.upstreams.filter { upstream -> own.any { it.pool == upstream.pool } }.sumOf { it.slots }
        return slots * flows.maxOf { it.maxUnits } / share
    }

    private fun p99Ratio(newScheduling: () -> Scheduling, loaded: List<FlowSpec>, baseline: List<FlowSpec>): Double {
        val first = loaded.first().name
        return p99(newScheduling, loaded, first) / maxOf(1.0, p99(newScheduling, baseline, first))
    }

    private fun p99(newScheduling: () -> Scheduling, flows: List<FlowSpec>, flow: String): Double {
        val run = VirtualRun(state, flows, newScheduling(), seed)
        run.time.runUntil(WARM_UP_MILLIS + WINDOW_MILLIS)
        return run.flows.first { it.spec.name == flow }.percentileMillis(TAIL_PERCENT).toDouble()
    }

    private fun slowedRatio(newScheduling: () -> Scheduling): Double {
        val baseline = slowedP99(newScheduling, factor = 1.0)
        return slowedP99(newScheduling, SLOW_FACTOR) / maxOf(1.0, baseline)
    }

    private fun slowedP99(newScheduling: () -> Scheduling, factor: Double): Double {
        val run = VirtualRun(state, scenarios.steadyLookups(), newScheduling(), seed)
        val models = run.upstreams.values.filter { it.upstream.models.isNotEmpty() }.sortedBy { it.upstream.id.value }
        var nextModel = 0
        run.time.every(SLOW_PERIOD_MILLIS) {
            models.forEach { it.slowFactor = 1.0 }
            repeat(2) { models[nextModel++ % models.size].slowFactor = factor }
        }
        run.time.every(SLOW_PERIOD_MILLIS, SLOW_PERIOD_MILLIS + SLOW_MILLIS) { models.forEach { it.slowFactor = 1.0 } }
        run.time.runUntil(WARM_UP_MILLIS + WINDOW_MILLIS)
        return run.flows.maxOf { it.percentileMillis(TAIL_PERCENT) }.toDouble()
    }

    private fun peakRows(): List<MeasureRow> {
        val peakResults = schedulings.map { newScheduling ->
            val run = VirtualRun(state, scenarios.peak(), newScheduling(), seed)
            run.time.runUntil(PEAK_END_MILLIS)
            val swing = run.flows.first { it.spec.name == "swing" }
            PeakResult(run.scheduling.name, swing.peakInTime.toDouble() / maxOf(1, swing.peakArrived))
        }
        val centralFraction = peakResults.last().inTimeFraction
        return peakResults.map {
            val ratio = it.inTimeFraction / centralFraction
            MeasureRow("served in time at the crest, part of central", it.scheduling, ratio, "0.95", ratio >= PEAK_TARGET)
        }
    }

    private class PeakResult(val scheduling: String, val inTimeFraction: Double)

    private companion object {
        const val WARM_UP_MILLIS = 5_000L
        const val WINDOW_MILLIS = 60_000L
        const val SAMPLE_MILLIS = 100L
        const val SLOW_PERIOD_MILLIS = 20_000L
        const val SLOW_MILLIS = 10_000L
        const val SLOW_FACTOR = 5.0
        const val PEAK_END_MILLIS = 60_000L
        const val MILLIS_PER_SECOND = 1_000.0
        const val TAIL_PERCENT = 99.0
        const val SPREAD_TARGET = 0.05
        const val BUSY_TARGET = 0.97
        const val RATIO_TARGET = 1.5
        const val CONTROL_TARGET = 4_096.0
        const val PEAK_TARGET = 0.95
    }
}
