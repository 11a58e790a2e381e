package buckthornbay.core.pool

import buckthornbay.protocol.Allocation
import buckthornbay.protocol.DemandReport
import buckthornbay.protocol.FleetPolicy
import buckthornbay.protocol.HostId
import buckthornbay.protocol.LatencyClass
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.Service
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.ServiceKind
import buckthornbay.protocol.SlotGrant
import buckthornbay.protocol.Upstream
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceDemand
import buckthornbay.protocol.WorkspaceId
import buckthornbay.protocol.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PoolOwnerTest {
    private val pool = PoolId(ServiceId("s"), RegionId("r"))
    private val near = HostId("near")
    private val other = HostId("other")

    private fun plan(upstreams: Int = 2, slots: Int = 4, shares: Map<String, Double> = mapOf("a" to 1.0, "b" to 1.0)) = PoolPlan(
        pool,
        Service(pool.service, ServiceKind.MODEL, classes = listOf(LatencyClass("short", 1_000, 10.0))),
        (0 until upstreams).map {
            Upstream(UpstreamId("u$it"), pool.service, pool.region, ZoneId("z"), "http://u$it", slots)
        },
        shares.mapKeys { WorkspaceId(it.key) },
        FleetPolicy(),
    )

    private fun owner(plan: PoolPlan = plan()) = PoolOwner(near, epoch = 1, plan, startedAtMillis = -1_000)

    private fun report(host: HostId, version: Long, applied: Long = 0, vararg demand: WorkspaceDemand) =
        DemandReport(pool, host, incarnation = 1, version, epoch = 1, allocationVersion = applied, workspaces = demand.toList())

    private fun queued(workspace: String, count: Int) = WorkspaceDemand(WorkspaceId(workspace), queuedShort = count)

    private fun Allocation.count(): Int = slots.sumOf { it.slots }

    @Test
    fun idleSlotsAreSpreadEvenlyToWithinOneSlot() {
        val owner = owner()
        owner.receive(0, report(near, 1))
        owner.receive(1, report(other, 1))
        val settled = assertNotNull(owner.receive(1_000, report(near, 2, applied = 1)))
        owner.receive(1_001, report(other, 2, applied = 1))
        assertTrue(settled.count() in 4..5, "${settled.count()} of 8 slots")
    }

    @Test
    fun aSlotIsGrantedOnlyAfterItsPreviousHostConfirmsTheRelease() {
        val owner = owner()
        val first = assertNotNull(owner.receive(0, report(near, 1)))
        assertEquals(8, first.count())
        val requested = assertNotNull(owner.receive(10, report(other, 1, applied = 0, queued("a", 6))))
        assertEquals(0, requested.count())
        val reduced = owner.takePendingAllocations(11, spacingMillis = 0).single { it.host == near }
        assertEquals(0, assertNotNull(owner.receive(12, report(other, 2, applied = 1, queued("a", 6)))).count())
        owner.receive(20, report(near, 2, applied = reduced.version))
        val granted = assertNotNull(owner.receive(21, report(other, 3, applied = 2, queued("a", 6))))
        assertEquals(8 - reduced.count(), granted.count())
    }

    @Test
    fun aNewOwnerAllocatesNothingWhileItCollectsReports() {
        val owner = PoolOwner(near, epoch = 1, plan(), startedAtMillis = 0)
        assertNull(owner.receive(1, report(near, 1, 0, queued("a", 9))))
        owner.tick(100)
        assertTrue(owner.takePendingAllocations(100, spacingMillis = 0).isEmpty())
        owner.tick(300)
        assertEquals(8, owner.takePendingAllocations(300, spacingMillis = 0).sumOf { it.count() })
    }

    @Test
    fun slotsOfASlowUpstreamAreRevokedOnlyFromHostsThatHaveThem() {
        val upstream = UpstreamId("u0")
        val busy = HolderView(near).apply {
            allocated[upstream] = 4
            use[upstream] = HolderView.Usage(inUse = 5, longInUse = 0, busyMillis = 0, progressUnits = 0.0)
        }
        val idle = HolderView(other)
        SlotRebalancer(mapOf(upstream to 1), listOf(busy, idle), mapOf(near to 1, other to 0)).run(mayRebalance = false)
        assertEquals(mapOf(upstream to 1), busy.allocated.toMap())
        assertTrue(idle.allocated.isEmpty(), "${idle.allocated}")
    }

    @Test
    fun duplicateAndReorderedReportsAreIgnored() {
        val owner = owner()
        owner.receive(0, report(near, 2, 0, queued("a", 3)))
        assertNull(owner.receive(1, report(near, 2, 0, queued("a", 9))))
        assertNull(owner.receive(2, report(near, 1, 0, queued("a", 9))))
    }

    @Test
    fun slotsAreProportionalToSharesWhenAllWorkspacesAreBacklogged() {
        val owner = owner(plan(upstreams = 3, slots = 4, shares = mapOf("a" to 2.0, "b" to 1.0)))
        owner.receive(0, report(near, 1, 0, queued("a", 50)))
        owner.receive(0, report(other, 1, 0, queued("b", 50)))
        var allocations = emptyMap<HostId, Allocation>()
        for (round in 2L..20L) {
            val now = round * 500
            allocations = listOf(near to "a", other to "b").associate { (host, workspace) ->
                val applied = allocations[host]?.version ?: 0
                host to assertNotNull(owner.receive(now, report(host, round, applied, queued(workspace, 50))))
            }
        }
        assertEquals(12, allocations.values.sumOf { it.count() })
        assertTrue(allocations.getValue(near).count() in 7..9, "${allocations.mapValues { it.value.count() }}")
    }

    @Test
    fun anOwnerRaisesItsEpochAboveAReportedOne() {
        val owner = owner()
        val answer = assertNotNull(owner.receive(0, report(near, 1).copy(epoch = 9)))
        assertTrue(answer.epoch > 9)
    }

    @Test
    fun aNewOwnerRestoresNormalizedServiceFromReports() {
        val owner = owner()
        val demandWithHistory = WorkspaceDemand(
            WorkspaceId("a"),
            servedUnits = 120.0,
            acknowledgedUnits = 100.0,
            normalizedUnits = 500.0,
            queuedShort = 1,
        )
        val answer = assertNotNull(owner.receive(0, report(near, 7, 0, demandWithHistory).copy(includesHistory = true)))
        assertEquals(520.0, answer.order.single().normalizedUnits)
    }

    @Test
    fun aHolderUsesItsFallbackShareUntilTheOwnerAnswers() {
        val holder = PoolHolder(near, incarnation = 1, plan())
        holder.setFallback(FallbackShare(rank = 0, hosts = 2))
        val request = request("q1")
        assertTrue(holder.arrive(0, request).none { it is HolderEffect.Dispatch })
        val later = (20L..400L step 20).flatMap { holder.tick(it) }
        assertEquals(1, later.count { it is HolderEffect.Dispatch })
        val allocation = Allocation(pool, near, other, epoch = 1, version = 1, validForMillis = 5_000)
        holder.applyAllocation(500, allocation)
        assertTrue(holder.arrive(501, request("q2")).none { it is HolderEffect.Dispatch })
    }

    @Test
    fun aRetriedRequestWaitsForABusyUpstreamRatherThanReuseTheFailedOne() {
        val holder = PoolHolder(near, incarnation = 1, plan())
        val slots = listOf(SlotGrant(UpstreamId("u0"), 1), SlotGrant(UpstreamId("u1"), 1))
        holder.applyAllocation(0, Allocation(pool, near, other, epoch = 1, version = 1, validForMillis = 5_000, slots = slots))
        val busy = holder.arrive(1, request("busy").copy(excluded = setOf(UpstreamId("u0")))).dispatched()
        assertEquals(listOf("busy" to "u1"), busy)
        assertEquals(emptyList(), holder.arrive(2, request("retried").copy(excluded = setOf(UpstreamId("u0")))).dispatched())
        assertEquals(listOf("fresh" to "u0"), holder.arrive(3, request("fresh")).dispatched())
        assertEquals(listOf("retried" to "u1"), holder.end(9, RequestId("busy"), 1.0, AttemptOutcome.COMPLETED).dispatched())
    }

    @Test
    fun aRetriedRequestReusesTheFailedUpstreamIfTheHostHasNoOther() {
        val holder = PoolHolder(near, incarnation = 1, plan())
        val slots = listOf(SlotGrant(UpstreamId("u0"), 1))
        holder.applyAllocation(0, Allocation(pool, near, other, epoch = 1, version = 1, validForMillis = 5_000, slots = slots))
        val retried = holder.arrive(1, request("retried").copy(excluded = setOf(UpstreamId("u0")))).dispatched()
        assertEquals(listOf("retried" to "u0"), retried)
    }

    @Test
    fun aFullQueueRefusesOnlyRequestsOfItsWorkspace() {
        val holder = PoolHolder(near, incarnation = 1, plan().copy(queueLimits = mapOf(WorkspaceId("a") to 2)))
        val effects = (1..4).flatMap { holder.arrive(0, request("a$it")) }
        val refusals = effects.filterIsInstance<HolderEffect.Refuse>()
        assertEquals(listOf("a3", "a4"), refusals.map { it.request.id.value })
        assertEquals(setOf(RefusalReason.QUEUE_FULL), refusals.map { it.reason }.toSet())
        assertTrue(holder.arrive(0, request("b1").copy(workspace = WorkspaceId("b"))).none { it is HolderEffect.Refuse })
    }

    @Test
    fun fallbackSharesOfAllHostsAddUpToTheSlotsOfTheUpstream() {
        val upstream = plan().upstreams.first().copy(slots = 7)
        for (hosts in 1..9) assertEquals(7, (0 until hosts).sumOf { FallbackShare(it, hosts).slotsOf(upstream) })
    }

    @Test
    fun anIdleWorkspaceEarnsNoCredit() {
        val ledger = FairLedger()
        val busy = WorkspaceId("busy")
        val idle = WorkspaceId("idle")
        ledger.observe(0, setOf(busy), setOf(busy))
        ledger.add(busy, 1_000.0, share = 1.0)
        ledger.observe(10, setOf(busy), setOf(busy))
        ledger.observe(20, setOf(busy, idle), setOf(busy, idle))
        assertEquals(ledger.normalizedUnitsOf(busy), ledger.normalizedUnitsOf(idle))
    }

    private fun List<HolderEffect>.dispatched(): List<Pair<String, String>> =
        filterIsInstance<HolderEffect.Dispatch>().map { it.request.id.value to it.upstream.value }

    private fun request(id: String) =
        PoolRequest(RequestId(id), WorkspaceId("a"), "short", false, 10.0, arrivedAtMillis = 0, deadlineAtMillis = 60_000)
}
