package buckthornbay.testkit

import buckthornbay.core.config.readDesiredState
import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.HostId
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.VersionedState
import buckthornbay.protocol.WorkspaceId
import buckthornbay.testkit.virtual.FlowSpec
import buckthornbay.testkit.virtual.RouterScheduling
import buckthornbay.testkit.virtual.VirtualRun
import com.github.michaelbull.result.get
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Tests the routers' scheduling decisions in virtual time under injected faults; each run is reproducible by its seed. */
class FleetUnderFaultsTest {
    private val state: DesiredState = assertNotNull(readDesiredState(File("../examples/glenmorrach.toml").readText()).get())
    private val north = RegionId("north")
    private val pool = PoolId(ServiceId("drafting"), north)

    private enum class Fault { PARTITION, COLD_RESTART, PAUSE, OWNER_PAUSE, FLOOD }

    private fun backlog(workspace: String, weights: List<Double> = emptyList()) = FlowSpec(
        name = "long $workspace",
        workspace = WorkspaceId(workspace),
        pool = pool,
        latencyClass = "briefing",
        long = true,
        minUnits = 100.0,
        maxUnits = 300.0,
        backlog = 40,
        hostWeights = weights,
        toMillis = FLOWS_END_MILLIS,
    )

    private fun lookups() = FlowSpec(
        name = "lookups",
        workspace = WorkspaceId("counter-3"),
        pool = pool,
        latencyClass = "lookup",
        minUnits = 10.0,
        maxUnits = 30.0,
        ratePerSecond = 20.0,
        toMillis = FLOWS_END_MILLIS,
    )

    private fun flood() = lookups().copy(
        name = "flood",
        workspace = WorkspaceId("counter-4"),
        ratePerSecond = 600.0,
        deadlineMillis = 2_000,
        fromMillis = FAULT_START_MILLIS,
        toMillis = FAULT_START_MILLIS + FAULT_LENGTH_MILLIS,
    )

    private inner class FaultScenario(val faults: List<Fault>, seed: Long) {
        val scheduling = RouterScheduling()
        val run: VirtualRun
        private val partitioned = HashSet<HostId>()

        init {
            val flows = listOf(backlog("counter-1", listOf(0.9, 0.05, 0.05)), backlog("counter-2"), lookups())
            run = VirtualRun(state, if (Fault.FLOOD in faults) flows + flood() else flows, scheduling, seed)
            scheduling.isPartitioned = { from, to -> (from in partitioned) != (to in partitioned) }
            faults.forEachIndexed { index, fault ->
                run.time.after(FAULT_START_MILLIS + index * FAULT_OFFSET_MILLIS) { inject(fault) }
            }
        }

        private fun inject(fault: Fault) {
            val target = scheduling.hostId(north, 1)
            when (fault) {
                Fault.PARTITION -> {
                    partitioned += target
                    run.time.after(FAULT_LENGTH_MILLIS) { partitioned -= target }
                }
                Fault.PAUSE -> pause(target)
                Fault.OWNER_PAUSE -> pause(ownerOf(target))
                Fault.COLD_RESTART -> scheduling.start(north, 2, incarnation = 1_000 + run.time.nowMillis)
                Fault.FLOOD -> Unit
            }
        }

        private fun pause(host: HostId) {
            scheduling.hosts.getValue(host).pausedUntilMillis = run.time.nowMillis + FAULT_LENGTH_MILLIS
        }

        private fun ownerOf(observer: HostId): HostId =
            scheduling.hosts.getValue(observer).node.status().pools.first { it.pool == pool }.owner ?: observer

        fun label() = "faults=$faults seed=${run.seed} at ${run.time.nowMillis} ms"
    }

    private fun scenarios(): List<FaultScenario> =
        Fault.entries.flatMap { first -> Fault.entries.map { second -> listOf(first, second).distinct() } }
            .flatMap { faults -> listOf(1L, 2L).map { FaultScenario(faults, it) } }

    @Test
    fun pairsOfFaultsNeitherLoseNorDuplicateRequestsNorStarveFlows() {
        for (scenario in scenarios()) {
            val served = HashMap<String, Double>()
            while (scenario.run.time.nowMillis < FLOWS_END_MILLIS) {
                scenario.run.time.runUntil(scenario.run.time.nowMillis + CHECK_MILLIS)
                checkOutcomeCounts(scenario)
                checkLoad(scenario)
                if (scenario.run.time.nowMillis % STARVATION_MILLIS == 0L) checkProgress(scenario, served)
            }
            scenario.run.time.runUntil(DRAIN_END_MILLIS)
            checkDrained(scenario)
        }
    }

    private fun checkOutcomeCounts(scenario: FaultScenario) {
        for (flow in scenario.run.flows) {
            assertTrue(
                flow.answered + flow.refused <= flow.arrived,
                "${flow.spec.name} has more outcomes than arrivals: ${scenario.label()}",
            )
        }
    }

    /** Checks that each slot is granted at most twice, by two hosts that own the pool at the same time. */
    private fun checkLoad(scenario: FaultScenario) {
        for (upstream in scenario.run.upstreams.values) {
            val limit = 2 * upstream.upstream.slots
            assertTrue(upstream.load <= limit, "${upstream.upstream.id} load ${upstream.load}, limit $limit: ${scenario.label()}")
        }
    }

    private fun checkProgress(scenario: FaultScenario, served: MutableMap<String, Double>) {
        for (flow in scenario.run.flows.filter { it.spec.backlog > 0 }) {
            val before = served.put(flow.spec.name, flow.servedUnits) ?: 0.0
            assertTrue(flow.servedUnits > before, "${flow.spec.name} unserved for $STARVATION_MILLIS ms: ${scenario.label()}")
        }
    }

    /** Checks that every request has an outcome, except those lost with a restarted host, whose callers are disconnected. */
    private fun checkDrained(scenario: FaultScenario) {
        val lost = scenario.run.flows.sumOf { it.arrived - it.answered - it.refused }
        if (Fault.COLD_RESTART !in scenario.faults) assertEquals(0, lost, scenario.label())
        assertEquals(0, scenario.scheduling.waitingCount(pool), scenario.label())
        assertEquals(0, scenario.run.upstreams.values.sumOf { it.load }, scenario.label())
    }

    @Test
    fun equalSharesStayWithinTheFairnessBoundForUnevenHostWeights() {
        for (seed in 1L..4L) {
            val flows =
                listOf(
                    backlog("counter-1", listOf(0.9, 0.05, 0.05)),
                    backlog("counter-2"),
                    backlog("counter-3", listOf(0.0, 0.0, 1.0)),
                )
            val run = VirtualRun(state, flows, RouterScheduling(), seed)
            val slots = state.upstreams.filter { it.pool == pool }.sumOf { it.slots }
            val boundUnits = slots * flows.maxOf { it.maxUnits }
            while (run.time.nowMillis < FLOWS_END_MILLIS) {
                run.time.runUntil(run.time.nowMillis + CHECK_MILLIS)
                val received = flows.map { run.normalizedUnits(it.workspace) }
                assertTrue(received.max() - received.min() <= boundUnits, "seed=$seed at ${run.time.nowMillis} ms: $received")
            }
        }
    }

    @Test
    fun newConfigurationReachesAllHostsWithinFiveSecondsAndIsNotReverted() {
        for (seed in 1L..5L) {
            val scheduling = RouterScheduling()
            val run = VirtualRun(state, listOf(lookups()), scheduling, seed)
            run.time.runUntil(FAULT_START_MILLIS)
            val newer = VersionedState(2, "second", state.copy(policy = state.policy.copy(longShare = 0.4)))
            scheduling.offer(scheduling.hostId(north, 0), newer)
            run.time.runUntil(FAULT_START_MILLIS + PROPAGATION_MILLIS)
            assertEquals(setOf(2L), scheduling.hosts.values.map { it.node.state?.version }.toSet(), "seed=$seed")
            scheduling.offer(scheduling.hostId(north, 1), VersionedState(1, "first", state))
            run.time.runUntil(FAULT_START_MILLIS + 2 * PROPAGATION_MILLIS)
            assertEquals(setOf(2L), scheduling.hosts.values.map { it.node.state?.version }.toSet(), "seed=$seed")
        }
    }

    @Test
    fun leavingUpstreamHasNoRequestsAfterTwoSeconds() {
        val scheduling = RouterScheduling()
        val run = VirtualRun(state, listOf(lookups().copy(ratePerSecond = 200.0)), scheduling, seed = 1)
        run.time.runUntil(FAULT_START_MILLIS)
        val leavingUpstream = state.upstreams.first { it.pool == pool }
        val upstreams = state.upstreams.map { if (it.id == leavingUpstream.id) it.copy(leaving = true) else it }
        scheduling.offer(scheduling.hostId(north, 0), VersionedState(2, "leave", state.copy(upstreams = upstreams)))
        run.time.runUntil(FAULT_START_MILLIS + LEAVE_DEADLINE_MILLIS)
        while (run.time.nowMillis < FLOWS_END_MILLIS) {
            run.time.runUntil(run.time.nowMillis + CHECK_MILLIS)
            assertEquals(0, run.upstreams.getValue(leavingUpstream.id).load, "at ${run.time.nowMillis} ms")
        }
    }

    private companion object {
        const val FAULT_START_MILLIS = 8_000L
        const val FAULT_LENGTH_MILLIS = 6_000L
        const val FAULT_OFFSET_MILLIS = 1_500L
        const val FLOWS_END_MILLIS = 30_000L
        const val DRAIN_END_MILLIS = 120_000L
        const val CHECK_MILLIS = 100L
        const val STARVATION_MILLIS = 10_000L
        const val PROPAGATION_MILLIS = 5_000L
        const val LEAVE_DEADLINE_MILLIS = 2_000L
    }
}
