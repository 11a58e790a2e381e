package buckthornbay.testkit.virtual

import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.ServiceKind
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.distribution.ZigguratSampler
import org.apache.commons.rng.simple.RandomSource

/**
 * A simulation in virtual time of flows of requests to upstreams under one [scheduling] policy, reproducible by its [seed].
 *
 * The model is deliberately simple: an upstream is a service rate and the network is a delay. The scheduling decisions are made
 * by the same code that the routers run.
 */
public class VirtualRun(
    public val state: DesiredState,
    flows: List<FlowSpec>,
    public val scheduling: Scheduling,
    public val seed: Long,
    public val hostsPerRegion: Int = 3,
) {
    public val time: VirtualTime = VirtualTime()
    public val flows: List<VirtualFlow> = flows.map { VirtualFlow(it) }
    public val upstreams: Map<UpstreamId, VirtualUpstream>
    private val pools: Map<PoolId, List<VirtualUpstream>>
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val exponential = ZigguratSampler.Exponential.of(random)
    private val jobs = HashMap<String, RunningJob>()
    private val shares = state.workspaces.associate { it.id to it.share }
    private var requestCount = 0
    private var busySlotSamples = 0.0
    private var usableSlotSamples = 0.0

    private class RunningJob(val job: VirtualJob, val upstream: UpstreamId)

    init {
        val kinds = state.services.associate { it.id to it.kind }
        upstreams = state.upstreams.associate { upstream ->
            val model = kinds[upstream.service] == ServiceKind.MODEL
            upstream.id to VirtualUpstream(
                upstream,
                unitsPerSecond = if (model) MODEL_UNITS_PER_SECOND else PLAIN_UNITS_PER_SECOND,
                fullBatchFactor = if (model) MODEL_BATCH_FACTOR else 1.0,
            )
        }
        pools = upstreams.values.groupBy { it.upstream.pool }
        scheduling.attach(this)
        time.every(STEP_MILLIS) { step() }
        this.flows.forEach { startFlow(it) }
    }

    /**
     * Fraction of usable slots that were busy, from 0 to 1, sampled while requests were waiting.
     *
     * Slots of a pool in excess of its requests do not count as usable.
     */
    public val utilization: Double get() = if (usableSlotSamples == 0.0) 1.0 else busySlotSamples / usableSlotSamples

    /** Starts the attempt [attemptId] of [request] at [upstreamId]. */
    public fun send(request: VirtualRequest, attemptId: String, upstreamId: UpstreamId) {
        val job = VirtualJob(request, attemptId, request.units)
        jobs[attemptId] = RunningJob(job, upstreamId)
        upstreams.getValue(upstreamId).submit(job)
    }

    /** Ends [request] as refused; has no effect on a request that has already ended. */
    public fun refuse(request: VirtualRequest) {
        if (request.done) return
        request.done = true
        request.flow.refused++
        request.flow.inProgress--
    }

    /** Returns the service that [workspace] received in all flows, in cost units per share. */
    public fun normalizedUnits(workspace: WorkspaceId): Double =
        flows.filter { it.spec.workspace == workspace }.sumOf { it.servedUnits } / shares.getValue(workspace)

    private fun startFlow(flow: VirtualFlow) {
        val spec = flow.spec
        if (spec.backlog > 0) {
            time.every(BACKLOG_REFILL_PERIOD_MILLIS, spec.fromMillis + 1) {
                if (time.nowMillis < spec.toMillis) repeat(minOf(BACKLOG_BATCH, spec.backlog - flow.inProgress)) { arrive(flow) }
            }
        } else {
            time.after(spec.fromMillis + interarrivalMillis(flow)) { scheduleArrivals(flow) }
        }
    }

    private fun scheduleArrivals(flow: VirtualFlow) {
        if (time.nowMillis >= flow.spec.toMillis) return
        arrive(flow)
        time.after(interarrivalMillis(flow)) { scheduleArrivals(flow) }
    }

    private fun interarrivalMillis(flow: VirtualFlow): Long {
        val rate = flow.spec.ratePerSecond * if (atPeak(flow)) flow.spec.peakFactor else 1.0
        return maxOf(1, (exponential.sample() / rate * MILLIS_PER_SECOND).toLong())
    }

    private fun atPeak(flow: VirtualFlow) = time.nowMillis in flow.spec.peakFromMillis until flow.spec.peakToMillis

    private fun arrive(flow: VirtualFlow) {
        val spec = flow.spec
        val units = spec.minUnits + random.nextDouble() * (spec.maxUnits - spec.minUnits)
        val request = VirtualRequest("r${requestCount++}", flow, units, time.nowMillis, sampleHost(spec), atPeak(flow))
        flow.arrived++
        flow.inProgress++
        if (request.atPeak) flow.peakArrived++
        scheduling.arrive(request)
    }

    private fun sampleHost(spec: FlowSpec): Int {
        if (spec.hostWeights.isEmpty()) return random.nextInt(hostsPerRegion)
        var draw = random.nextDouble() * spec.hostWeights.sum()
        return spec.hostWeights.indexOfFirst { weight ->
            draw -= weight
            draw <= 0
        }
    }

    private fun step() {
        sampleUtilization()
        for (upstream in upstreams.values) {
            for (job in upstream.advance(time.nowMillis, STEP_MILLIS)) end(job, upstream.upstream.id)
        }
        if (time.nowMillis % PROGRESS_MILLIS == 0L) {
            jobs.values.toList().forEach { scheduling.progress(it.job.request, it.job.attemptId, it.job.servedUnits) }
        }
    }

    private fun end(job: VirtualJob, upstream: UpstreamId) {
        jobs.remove(job.attemptId)
        val request = job.request
        if (!request.done) {
            request.done = true
            val flow = request.flow
            flow.answered++
            flow.inProgress--
            flow.responseMillis.recordValue(time.nowMillis - request.arrivedAtMillis)
        }
        cancelOtherAttempts(job)
        scheduling.ended(request, job.attemptId, upstream, job.servedUnits)
    }

    private fun cancelOtherAttempts(winner: VirtualJob) {
        val losers = jobs.values.filter { it.job.request === winner.request }
        for (loser in losers) {
            jobs.remove(loser.job.attemptId)
            upstreams.getValue(loser.upstream).cancel(loser.job)
            scheduling.ended(loser.job.request, loser.job.attemptId, loser.upstream, loser.job.servedUnits)
        }
    }

    private fun sampleUtilization() {
        if (time.nowMillis >= WARM_UP_MILLIS) pools.forEach { (pool, members) -> sampleUtilization(pool, members) }
    }

    private fun sampleUtilization(pool: PoolId, members: List<VirtualUpstream>) {
        val waiting = scheduling.waitingCount(pool) + members.sumOf { it.load - it.busySlots }
        if (waiting == 0) return
        val busy = members.sumOf { it.busySlots }
        busySlotSamples += busy
        usableSlotSamples += minOf(members.sumOf { it.upstream.slots }, busy + waiting)
    }

    private companion object {
        const val STEP_MILLIS = 5L
        const val BACKLOG_REFILL_PERIOD_MILLIS = 10L
        const val BACKLOG_BATCH = 2
        const val PROGRESS_MILLIS = 100L
        const val WARM_UP_MILLIS = 3_000L
        const val MILLIS_PER_SECOND = 1_000.0
        const val MODEL_UNITS_PER_SECOND = 200.0
        const val MODEL_BATCH_FACTOR = 1.3
        const val PLAIN_UNITS_PER_SECOND = 100.0
    }
}
