package buckthornbay.operator

import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.atomic.AtomicLong

/** Outcome counters and latency histograms of a flow; latencies are measured from the scheduled time of each request. */
internal class FlowTally(val flow: LoadFlow) {
    val sent = AtomicLong()
    val answered = AtomicLong()
    val notRun = AtomicLong()
    val failed = AtomicLong()
    val unknown = AtomicLong()
    val tokens = AtomicLong()
    private val firstByteMicros = ConcurrentHistogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
    private val completionMicros = ConcurrentHistogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)

    fun recordFirstByte(micros: Long) = firstByteMicros.recordValue(micros.coerceIn(0, HIGHEST_MICROS))

    fun recordCompletion(micros: Long) = completionMicros.recordValue(micros.coerceIn(0, HIGHEST_MICROS))

    fun row() = FlowRow(
        flow = flow.name,
        sent = sent.get(),
        answered = answered.get(),
        notRun = notRun.get(),
        failed = failed.get(),
        unknown = unknown.get(),
        tokens = tokens.get(),
        firstByteP50Millis = firstByteMicros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
        firstByteP99Millis = firstByteMicros.getValueAtPercentile(TAIL) / MICROS_PER_MILLI,
        wholeP50Millis = completionMicros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
        wholeP99Millis = completionMicros.getValueAtPercentile(TAIL) / MICROS_PER_MILLI,
    )

    private companion object {
        const val HIGHEST_MICROS = 3_600_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val MICROS_PER_MILLI = 1_000.0
    }
}

/** A row of the result table; latencies are in milliseconds from the scheduled time of each request. */
@Serializable
public data class FlowRow(
    public val flow: String,
    public val sent: Long,
    public val answered: Long,
    public val notRun: Long,
    public val failed: Long,
    public val unknown: Long,
    public val tokens: Long,
    public val firstByteP50Millis: Double,
    public val firstByteP99Millis: Double,
    public val wholeP50Millis: Double,
    public val wholeP99Millis: Double,
)

/** Formats [rows] as a text table. */
public fun tableOf(rows: List<FlowRow>): String {
    val head = "%-16s %8s %8s %8s %7s %8s %9s %10s %10s %10s %10s".format(
        "flow", "sent", "answered", "not run", "failed", "unknown", "tokens", "first p50", "first p99", "whole p50", "whole p99",
    )
    val lines = rows.map {
        "%-16s %8d %8d %8d %7d %8d %9d %7.1f ms %7.1f ms %7.1f ms %7.1f ms".format(
            it.flow, it.sent, it.answered, it.notRun, it.failed, it.unknown, it.tokens,
            it.firstByteP50Millis, it.firstByteP99Millis, it.wholeP50Millis, it.wholeP99Millis,
        )
    }
    return (listOf(head) + lines).joinToString("\n")
}
