package buckthornbay.testkit.virtual

import buckthornbay.protocol.Upstream

/**
 * An upstream in virtual time that serves up to [Upstream.slots] requests as a batch and queues the others.
 *
 * Each request becomes slower as the batch fills up.
 *
 * @property unitsPerSecond service rate of a single request in an empty batch, in cost units per second.
 * @property fullBatchFactor slowdown of each request when all slots are busy.
 */
public class VirtualUpstream(
    public val upstream: Upstream,
    private val unitsPerSecond: Double,
    private val fullBatchFactor: Double,
) {
    /** Slowdown of all requests, to simulate a degraded upstream; 1.0 is normal speed. */
    public var slowFactor: Double = 1.0

    private val batch = ArrayList<VirtualJob>()
    private val waiting = ArrayDeque<VirtualJob>()

    /** Number of requests that are running or queued here. */
    public val load: Int get() = batch.size + waiting.size

    /** Number of busy slots. */
    public val busySlots: Int get() = batch.size

    internal fun submit(job: VirtualJob) {
        if (batch.size < upstream.slots) batch += job else waiting += job
    }

    internal fun cancel(job: VirtualJob) {
        batch -= job
        waiting -= job
        refill()
    }

    /** Serves the batch for [millis] milliseconds and returns the jobs that completed. */
    internal fun advance(nowMillis: Long, millis: Long): List<VirtualJob> {
        if (batch.isEmpty()) return emptyList()
        val batchSlowdown = 1 + (fullBatchFactor - 1) * batch.size / upstream.slots
        val units = unitsPerSecond * millis / MILLIS_PER_SECOND / batchSlowdown / slowFactor
        batch.forEach { it.serve(nowMillis, units) }
        val ended = batch.filter { it.isDone }
        batch.removeAll(ended)
        refill()
        return ended
    }

    private fun refill() {
        while (batch.size < upstream.slots && waiting.isNotEmpty()) batch += waiting.removeFirst()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/** One attempt of a request at an upstream. */
internal class VirtualJob(val request: VirtualRequest, val attemptId: String, val totalUnits: Double) {
    var servedUnits = 0.0
        private set
    val isDone: Boolean get() = servedUnits >= totalUnits

    fun serve(nowMillis: Long, units: Double) {
        if (servedUnits == 0.0) request.recordStart(nowMillis)
        val delivered = minOf(units, totalUnits - servedUnits)
        servedUnits += delivered
        request.flow.servedUnits += delivered
    }
}
