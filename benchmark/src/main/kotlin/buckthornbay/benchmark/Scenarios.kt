package buckthornbay.benchmark

import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.ServiceKind
import buckthornbay.protocol.WorkspaceId
import buckthornbay.testkit.virtual.FlowSpec

/** Flows at one user's size, each scenario made for one measure of the brief. */
internal class Scenarios(private val state: DesiredState) {
    private val service = state.services.first { it.kind == ServiceKind.MODEL }
    private val shortClass = service.classes.first { !it.long }.id
    private val longClass = service.classes.first { it.long }.id
    private val regions = state.upstreams.map { it.region }.distinct()
    private val near = PoolId(service.id, regions[0])
    private val equalShares: List<WorkspaceId> = state.workspaces.filter { it.share == 1.0 }.map { it.id }

    /** Four workspaces of equal shares that always have work waiting, spread as unevenly as callers are. */
    fun unevenBacklog(): List<FlowSpec> = listOf(
        long("nine tenths on one host", equalShares[0]).copy(hostWeights = MOSTLY_FIRST),
        long("even", equalShares[1]),
        long("last host only", equalShares[2]).copy(hostWeights = LAST_ONLY),
        short("short requests", equalShares[FOURTH]).copy(backlog = BACKLOG),
    )

    /** The same workspaces, backlogged in different sets of regions. */
    fun regionalBacklog(): List<FlowSpec> = listOf(
        long("everywhere 1", equalShares[0]),
        long("everywhere 2", equalShares[0]).copy(pool = near.copy(region = regions[1])),
        long("first only", equalShares[1]),
        long("second only", equalShares[2]).copy(pool = near.copy(region = regions[1])),
    )

    /** A small workspace, with or without a neighbour that floods a hundredfold. */
    fun flood(floods: Boolean): List<FlowSpec> {
        val small = short("small", equalShares[0]).copy(ratePerSecond = SMALL_RATE)
        val neighbour = short("neighbour", equalShares[1]).copy(ratePerSecond = SMALL_RATE * if (floods) FLOOD_FACTOR else 1.0)
        return listOf(small, neighbour.copy(deadlineMillis = FLOOD_DEADLINE_MILLIS))
    }

    /** Lookups, with or without briefings that fill every slot they get. */
    fun lookupsBehindBriefings(briefings: Boolean): List<FlowSpec> {
        val lookups = short("lookups", equalShares[0]).copy(ratePerSecond = LOOKUP_RATE)
        return if (briefings) listOf(lookups, long("briefings", equalShares[1])) else listOf(lookups)
    }

    /** Lookups in every region at a load that leaves some room. */
    fun steadyLookups(): List<FlowSpec> = regions.map { region ->
        val pool = near.copy(region = region)
        val slots = state.upstreams.filter { it.pool == pool }.sumOf { it.slots }
        short("lookups $region", equalShares[0]).copy(pool = pool, ratePerSecond = slots * STEADY_RATE_PER_SLOT)
    }

    /** Two workspaces, one of which swings tenfold within two seconds. */
    fun crest(): List<FlowSpec> = listOf(
        short("steady", equalShares[0]).copy(ratePerSecond = LOOKUP_RATE),
        short("swing", equalShares[1]).copy(
            ratePerSecond = LOOKUP_RATE,
            crestFactor = CREST_FACTOR,
            crestFromMillis = CREST_FROM_MILLIS,
            crestToMillis = CREST_FROM_MILLIS + CREST_MILLIS,
            deadlineMillis = CREST_DEADLINE_MILLIS,
        ),
    )

    private fun short(name: String, workspace: WorkspaceId) =
        FlowSpec(name, workspace, near, shortClass, minUnits = SHORT_UNITS / 2, maxUnits = SHORT_UNITS * 3 / 2)

    private fun long(name: String, workspace: WorkspaceId) = FlowSpec(
        name,
        workspace,
        near,
        longClass,
        long = true,
        minUnits = LONG_UNITS / 2,
        maxUnits = LONG_UNITS * 3 / 2,
        backlog = BACKLOG,
    )

    private companion object {
        val MOSTLY_FIRST = listOf(0.9, 0.05, 0.05)
        val LAST_ONLY = listOf(0.0, 0.0, 1.0)
        const val FOURTH = 3
        const val BACKLOG = 60
        const val SHORT_UNITS = 20.0
        const val LONG_UNITS = 400.0
        const val SMALL_RATE = 5.0
        const val FLOOD_FACTOR = 100.0
        const val FLOOD_DEADLINE_MILLIS = 10_000L
        const val LOOKUP_RATE = 60.0
        const val STEADY_RATE_PER_SLOT = 3.0
        const val CREST_FACTOR = 10.0
        const val CREST_FROM_MILLIS = 20_000L
        const val CREST_MILLIS = 2_000L
        const val CREST_DEADLINE_MILLIS = 2_000L
    }
}
