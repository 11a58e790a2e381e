package buckthornbay.benchmark

import buckthornbay.core.membership.HostReport
import buckthornbay.core.membership.Membership
import buckthornbay.core.pool.AttemptOutcome
import buckthornbay.core.pool.FallbackShare
import buckthornbay.core.pool.HolderEffect
import buckthornbay.core.pool.PoolHolder
import buckthornbay.core.pool.PoolOwner
import buckthornbay.core.pool.PoolPlan
import buckthornbay.core.pool.PoolRequest
import buckthornbay.protocol.Allocation
import buckthornbay.protocol.DemandReport
import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.EnvelopeEncoder
import buckthornbay.protocol.FleetPolicy
import buckthornbay.protocol.Heartbeat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.LatencyClass
import buckthornbay.protocol.Member
import buckthornbay.protocol.PeerEnvelope
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.Service
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.ServiceKind
import buckthornbay.protocol.Upstream
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.UpstreamUse
import buckthornbay.protocol.WireJson
import buckthornbay.protocol.Workspace
import buckthornbay.protocol.WorkspaceDemand
import buckthornbay.protocol.WorkspaceId
import buckthornbay.protocol.ZoneId
import buckthornbay.protocol.readToml
import buckthornbay.protocol.writeToml
import com.github.michaelbull.result.get
import org.apache.commons.math3.stat.regression.SimpleRegression
import org.apache.commons.rng.simple.RandomSource

/**
 * A linear regression of a measured value over size.
 *
 * @property slope increase of the value per unit of size.
 * @property intercept value of the regression line at size 0.
 * @property rSquared coefficient of determination; 1 if all points lie on the line.
 */
internal class LinearFit(val name: String, val sizes: List<Int>, val values: List<Double>) {
    private val regression = SimpleRegression().apply {
        sizes.zip(values).forEach { (size, value) -> addData(size.toDouble(), value) }
    }
    val slope: Double = regression.slope
    val intercept: Double = regression.intercept
    val rSquared: Double = regression.rSquare

    override fun toString(): String {
        val points = sizes.zip(values).joinToString("  ") { (size, value) -> "%d: %.2f".format(size, value) }
        return "%-58s %s   per unit %.4f  at zero %.2f  fit %.3f".format(name, points, slope, intercept, rSquared)
    }
}

/** Measurements of how state, messages, memory and CPU time grow with the size of a fleet; docs/CAPACITY.md uses them. */
internal class Slopes {
    private val pool = PoolId(ServiceId("drafting"), RegionId("north"))
    private val service = Service(
        pool.service,
        ServiceKind.MODEL,
        classes = listOf(LatencyClass("lookup", deadlineMillis = 10_000, estimatedCostUnits = 20.0)),
    )

    fun all(): List<LinearFit> = listOf(
        slope("report, bytes on the stream, by workspaces in it", WORKSPACES) { reportBytes(it) },
        slope("allocation, bytes on the stream, by workspaces in it", WORKSPACES) { allocationBytes(it) },
        slope("owner, microseconds a report, by reporting hosts", HOSTS) { ownerMicros(it, workspaces = 16, upstreams = 8) },
        slope("owner, microseconds a report, by workspaces", WORKSPACES) { ownerMicros(hosts = 8, it, upstreams = 8) },
        slope("owner, microseconds a report, by upstreams", UPSTREAMS) { ownerMicros(hosts = 8, workspaces = 16, it) },
        slope("holder, microseconds a request, by backlogged workspaces", WORKSPACES) { holderMicros(it) },
        slope("heartbeat, bytes, by members", MEMBERS) { heartbeatBytes(it) },
        slope("membership, microseconds a heartbeat, by members", MEMBERS) { membershipMicros(it) },
        slope("desired state, bytes stored, by workspaces", WORKSPACES) { stateBytes(it, upstreams = 8) },
        slope("desired state, bytes stored, by upstreams", UPSTREAMS) { stateBytes(workspaces = 16, it) },
        slope("desired state, milliseconds to read TOML, by workspaces", WORKSPACES) { stateMillis(it) },
        slope("owner, KB of memory, by hosts with 16 workspaces", HOSTS) { ownerKilobytes(it) },
        slope("membership, KB of memory, by members", MEMBERS) { membershipKilobytes(it) },
    )

    private fun slope(name: String, sizes: List<Int>, measure: (Int) -> Double) = LinearFit(name, sizes, sizes.map(measure))

    private fun plan(workspaces: Int, upstreams: Int) = PoolPlan(
        pool,
        service,
        (0 until upstreams).map { upstream(it) },
        (0 until workspaces).associate { WorkspaceId("workspace-$it") to 1.0 },
        FleetPolicy(),
    )

    private fun upstream(number: Int) = Upstream(
        UpstreamId("drafting-$number"),
        pool.service,
        pool.region,
        ZoneId("north-a"),
        "http://10.0.0.$number:9000",
        SLOTS,
    )

    private fun report(host: Int, version: Long, workspaces: Int, upstreams: Int) = DemandReport(
        pool = pool,
        host = HostId("north-$host"),
        incarnation = 1,
        version = version,
        epoch = 1,
        allocationVersion = version - 1,
        workspaces = (0 until workspaces).map { demand(it, version) },
        upstreams = (0 until upstreams).map { upstreamUse(it, version) },
    )

    private fun demand(number: Int, version: Long) = WorkspaceDemand(
        WorkspaceId("workspace-$number"),
        servedUnits = version * 37.3 + number * 11.1,
        queuedShort = ((version + number) % DISTINCT_QUEUE_LENGTHS).toInt(),
        running = ((version * 3 + number) % DISTINCT_QUEUE_LENGTHS).toInt(),
        oldestWaitMillis = version * 7 % 1_000,
    )

    private fun upstreamUse(number: Int, version: Long) = UpstreamUse(
        UpstreamId("drafting-$number"),
        inUse = ((version + number) % SLOTS).toInt(),
        busyMillis = version * 977 + number,
        progressUnits = version * 211.7 + number,
    )

    private fun reportBytes(workspaces: Int): Double = EnvelopeEncoder().use { encoder ->
        val sizes = (1L..ROUNDS).map {
            encoder.encode(PeerEnvelope(HostId("north-1"), 1, it, listOf(report(1, it, workspaces, FEW_UPSTREAMS)))).size
        }
        sizes.drop(WARM_UP_ROUNDS).average()
    }

    private fun allocationBytes(workspaces: Int): Double {
        val owner = PoolOwner(HostId("north-0"), 1, plan(workspaces, FEW_UPSTREAMS), startedAtMillis = -1_000)
        return EnvelopeEncoder().use { encoder ->
            val sizes = (1L..ROUNDS).mapNotNull { round ->
                val answer: Allocation? = owner.receive(round * PERIOD_MILLIS, report(1, round, workspaces, FEW_UPSTREAMS))
                answer?.let { encoder.encode(PeerEnvelope(HostId("north-0"), 1, round, listOf(it))).size }
            }
            sizes.drop(WARM_UP_ROUNDS).average()
        }
    }

    private fun ownerMicros(hosts: Int, workspaces: Int, upstreams: Int): Double {
        val owner = PoolOwner(HostId("north-0"), 1, plan(workspaces, upstreams), startedAtMillis = -1_000)
        return microsPerRound(TIMED_ROUNDS) { round ->
            val host = (round % hosts).toInt()
            owner.receive(round * PERIOD_MILLIS / hosts, report(host, round + 1, workspaces, upstreams))
            owner.takePendingAllocations(round * PERIOD_MILLIS / hosts, PERIOD_MILLIS)
        }
    }

    private fun holderMicros(workspaces: Int): Double {
        val holder = PoolHolder(HostId("north-1"), 1, plan(workspaces, upstreams = 4))
        holder.setFallback(FallbackShare(0, 1))
        val running = ArrayDeque<RequestId>()
        return microsPerRound(TIMED_ROUNDS) { round ->
            val request = PoolRequest(
                RequestId("r$round"),
                WorkspaceId("workspace-${round % workspaces}"),
                "lookup",
                long = false,
                hintUnits = REQUEST_UNITS,
                arrivedAtMillis = round,
                deadlineAtMillis = round + DEADLINE_MILLIS,
            )
            val effects = holder.arrive(round, request) + holder.tick(round)
            effects.forEach { if (it is HolderEffect.Dispatch) running.addLast(it.request.id) }
            if (running.size > SLOTS) holder.end(round, running.removeFirst(), REQUEST_UNITS, AttemptOutcome.COMPLETED)
        }
    }

    private fun membership(members: Int): Membership {
        val membership = Membership(member(0), emptyList(), RandomSource.XO_RO_SHI_RO_128_PP.create(1L))
        for (number in 1 until members) membership.receive(0, Heartbeat(member(number)), HostReport(1, 0))
        return membership
    }

    private fun member(number: Int) = Member(
        HostId("north-$number"),
        "http://10.0.${number / HOSTS_PER_SUBNET}.${number % HOSTS_PER_SUBNET}:8001",
        RegionId("north"),
        ZoneId("north-a"),
        1,
    )

    private fun heartbeatBytes(members: Int): Double {
        val membership = membership(members)
        val sizes = (1L..ROUNDS * HEARTBEAT_FACTOR).flatMap { round -> membership.tick(round * 1_000, HostReport(1, 0)) }
            .map { WireJson.encodeToString(Heartbeat.serializer(), it.heartbeat).length }
        return sizes.drop(sizes.size / 2).average()
    }

    private fun membershipMicros(members: Int): Double {
        val membership = membership(members)
        return microsPerRound(TIMED_ROUNDS) { round ->
            membership.receive(round, Heartbeat(member(1 + (round % (members - 1)).toInt())), HostReport(1, 0))
        }
    }

    private fun state(workspaces: Int, upstreams: Int) = DesiredState(
        workspaces = (0 until workspaces).map {
            Workspace(WorkspaceId("workspace-$it"), "partner", 1.0, listOf("%064x".format(it)))
        },
        services = listOf(service),
        upstreams = (0 until upstreams).map { upstream(it) },
    )

    private fun stateBytes(workspaces: Int, upstreams: Int): Double =
        WireJson.encodeToString(DesiredState.serializer(), state(workspaces, upstreams)).length.toDouble()

    private fun stateMillis(workspaces: Int): Double {
        val text = writeToml(state(workspaces, upstreams = 8))
        return microsPerRound(TOML_ROUNDS) { checkNotNull(readToml(DesiredState.serializer(), text).get()) } / 1_000
    }

    private fun ownerKilobytes(hosts: Int): Double = kilobytesPerCopy {
        val owner = PoolOwner(HostId("north-0"), 1, plan(SOME_WORKSPACES, SOME_UPSTREAMS), startedAtMillis = -1_000)
        for (round in 0L until hosts * ROUNDS) {
            owner.receive(round, report((round % hosts).toInt(), round + 1, SOME_WORKSPACES, SOME_UPSTREAMS))
        }
        owner
    }

    private fun membershipKilobytes(members: Int): Double = kilobytesPerCopy { membership(members) }

    private fun kilobytesPerCopy(create: () -> Any): Double {
        val copies = ArrayList<Any>()
        val before = usedHeapBytes()
        repeat(COPIES) { copies += create() }
        val after = usedHeapBytes()
        check(copies.size == COPIES) { "the copies must stay reachable until the heap is measured" }
        return (after - before) / 1_024.0 / COPIES
    }

    private fun usedHeapBytes(): Long {
        repeat(GC_RUNS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private fun microsPerRound(rounds: Long, action: (Long) -> Unit): Double {
        for (round in 0 until rounds) action(round)
        val startNanos = System.nanoTime()
        for (round in rounds until 2 * rounds) action(round)
        return (System.nanoTime() - startNanos) / 1_000.0 / rounds
    }

    private companion object {
        val WORKSPACES = listOf(4, 16, 37, 74)
        val HOSTS = listOf(3, 9, 19, 56)
        val UPSTREAMS = listOf(2, 4, 8, 16)
        val MEMBERS = listOf(9, 45, 130, 390)
        const val SLOTS = 16
        const val FEW_UPSTREAMS = 4
        const val SOME_UPSTREAMS = 8
        const val SOME_WORKSPACES = 16
        const val REQUEST_UNITS = 20.0
        const val DEADLINE_MILLIS = 60_000L
        const val HOSTS_PER_SUBNET = 250
        const val HEARTBEAT_FACTOR = 4
        const val GC_RUNS = 3
        const val DISTINCT_QUEUE_LENGTHS = 9
        const val ROUNDS = 60L
        const val WARM_UP_ROUNDS = 10
        const val TIMED_ROUNDS = 3_000L
        const val TOML_ROUNDS = 30L
        const val PERIOD_MILLIS = 250L
        const val COPIES = 40
    }
}
