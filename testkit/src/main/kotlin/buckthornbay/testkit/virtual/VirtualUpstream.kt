package buckthornbay.testkit.virtual

import buckthornbay.protocol.Upstream

/**
 * An upstream in virtual time: it batches up to its slots, and the fuller the batch the slower each request.
 *
 * @property unitsPerSecond what one request gets in an empty upstream, in cost units a second.
 * @property fullBatchFactor how much slower a request is when all slots are busy.
 */
public class VirtualUpstream(
    public val upstream: Upstream,
    private val unitsPerSecond: Double,
    private val fullBatchFactor: Double,
) {
    /** Multiplies all times. */
    public var slowFactor: Double = 1.0

    private val batch = ArrayList<VirtualJob>()
    private val waiting = ArrayDeque<VirtualJob>()

    /** Requests that run or wait here. */
    public val load: Int get() = batch.size + waiting.size

    /** Slots that are busy. */
    public val busySlots: Int get() = batch.size

    internal fun begin(job: VirtualJob) {
        if (batch.size < upstream.slots) batch += job else waiting += job
    }

    internal fun cancel(job: VirtualJob) {
        batch -= job
        waiting -= job
        refill()
    }

    /** Lets [millis] milliseconds pass and returns the jobs that ended. */
    internal fun advance(nowMillis: Long, millis: Long): List<VirtualJob> {
        if (batch.isEmpty()) return emptyList()
        val crowding = 1 + (fullBatchFactor - 1) * batch.size / upstream.slots
        val units = unitsPerSecond * millis / MILLIS_PER_SECOND / crowding / slowFactor
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
        if (servedUnits == 0.0) request.began(nowMillis)
        val given = minOf(units, totalUnits - servedUnits)
        servedUnits += given
        request.flow.servedUnits += given
    }
}
