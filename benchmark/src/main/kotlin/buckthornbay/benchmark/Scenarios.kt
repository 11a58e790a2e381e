package buckthornbay.benchmark

import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.ServiceKind
import buckthornbay.protocol.WorkspaceId
import buckthornbay.testkit.virtual.FlowSpec

/** Traffic scenarios for the fleet of [state], one for each measure. */
internal class Scenarios(private val state: DesiredState) {
    private val service = state.services.first { it.kind == ServiceKind.MODEL }
    private val shortClass = service.classes.first { !it.long }.id
    private val longClass = service.classes.first { it.long }.id
    private val regions = state.upstreams.map { it.region }.distinct()
    private val firstRegionPool = PoolId(service.id, regions[0])
    private val equalShares: List<WorkspaceId> = state.workspaces.filter { it.share == 1.0 }.map { it.id }

    /** Four workspaces with equal shares and a constant backlog, spread unevenly across hosts. */
    fun unevenBacklog(): List<FlowSpec> = listOf(
        longFlow("nine tenths on one host", equalShares[0]).copy(hostWeights = SKEWED_HOST_WEIGHTS),
        longFlow("even", equalShares[1]),
        longFlow("last host only", equalShares[2]).copy(hostWeights = LAST_HOST_WEIGHTS),
        shortFlow("short requests", equalShares[FOURTH]).copy(backlog = BACKLOG),
    )

    /** Three workspaces with equal shares, backlogged in different sets of regions. */
    fun regionalBacklog(): List<FlowSpec> = listOf(
        longFlow("everywhere 1", equalShares[0]),
        longFlow("everywhere 2", equalShares[0]).copy(pool = firstRegionPool.copy(region = regions[1])),
        longFlow("first only", equalShares[1]),
        longFlow("second only", equalShares[2]).copy(pool = firstRegionPool.copy(region = regions[1])),
    )

    /** A small workspace next to one that sends at the same rate or, if [floods], at 100 times that rate. */
    fun flood(floods: Boolean): List<FlowSpec> {
        val small = shortFlow("small", equalShares[0]).copy(ratePerSecond = SMALL_RATE)
        val noisy = shortFlow("neighbour", equalShares[1]).copy(ratePerSecond = SMALL_RATE * if (floods) FLOOD_FACTOR else 1.0)
        return listOf(small, noisy.copy(deadlineMillis = FLOOD_DEADLINE_MILLIS))
    }

    /** Short requests (lookups), with or without a backlog of long ones (briefings) that occupy every slot granted to them. */
    fun lookupsBehindBriefings(briefings: Boolean): List<FlowSpec> {
        val lookups = shortFlow("lookups", equalShares[0]).copy(ratePerSecond = LOOKUP_RATE)
        return if (briefings) listOf(lookups, longFlow("briefings", equalShares[1])) else listOf(lookups)
    }

    /** Short requests in every region at a load below capacity. */
    fun steadyLookups(): List<FlowSpec> = regions.map { region ->
        val pool = firstRegionPool.copy(region = region)
        val slots = state.upstreams.filter { it.pool == pool }.sumOf { it.slots }
        shortFlow("lookups $region", equalShares[0]).copy(pool = pool, ratePerSecond = slots * STEADY_RATE_PER_SLOT)
    }

    /** Two workspaces, one of which sends at ten times its usual rate for two seconds. */
    fun peak(): List<FlowSpec> = listOf(
        shortFlow("steady", equalShares[0]).copy(ratePerSecond = LOOKUP_RATE),
        shortFlow("swing", equalShares[1]).copy(
            ratePerSecond = LOOKUP_RATE,
            peakFactor = PEAK_FACTOR,
            peakFromMillis = PEAK_FROM_MILLIS,
            peakToMillis = PEAK_FROM_MILLIS + PEAK_MILLIS,
            deadlineMillis = PEAK_DEADLINE_MILLIS,
        ),
    )

    private fun shortFlow(name: String, workspace: WorkspaceId) =
        FlowSpec(name, workspace, firstRegionPool, shortClass, minUnits = SHORT_UNITS / 2, maxUnits = SHORT_UNITS * 3 / 2)

    private fun longFlow(name: String, workspace: WorkspaceId) = FlowSpec(
        name,
        workspace,
        firstRegionPool,
        longClass,
        long = true,
        minUnits = LONG_UNITS / 2,
        maxUnits = LONG_UNITS * 3 / 2,
        backlog = BACKLOG,
    )

    private companion object {
        val SKEWED_HOST_WEIGHTS = listOf(0.9, 0.05, 0.05)
        val LAST_HOST_WEIGHTS = listOf(0.0, 0.0, 1.0)
        const val FOURTH = 3
        const val BACKLOG = 60
        const val SHORT_UNITS = 20.0
        const val LONG_UNITS = 400.0
        const val SMALL_RATE = 5.0
        const val FLOOD_FACTOR = 100.0
        const val FLOOD_DEADLINE_MILLIS = 10_000L
        const val LOOKUP_RATE = 60.0
        const val STEADY_RATE_PER_SLOT = 3.0
        const val PEAK_FACTOR = 10.0
        const val PEAK_FROM_MILLIS = 20_000L
        const val PEAK_MILLIS = 2_000L
        const val PEAK_DEADLINE_MILLIS = 2_000L
    }
}
