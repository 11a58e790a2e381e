package buckthornbay.operator

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText

/** Summary measurements of a demo run, in addition to the table of flows. */
internal class DemoMeasures(private val client: HttpClient, private val urls: List<String>, private val runner: LoadRunner) {
    private var controlBytesAtStart = 0.0

    suspend fun recordBaseline() {
        controlBytesAtStart = controlBytes()
    }

    /** Returns the summary lines printed below the table for a run of [seconds] seconds. */
    suspend fun summaryLines(seconds: Int): List<String> {
        val perHost = (controlBytes() - controlBytesAtStart) / urls.size / seconds
        val rows = runner.tallies.associate { it.flow.name to it.row() }
        val peakFlow = runner.tallies.first { it.flow.name == "crest" }
        return listOf(
            "control traffic: %.0f bytes a second and host".format(perHost),
            "short work beside saturating long work: first byte p99 %.1f ms".format(rows.getValue("lookups").firstByteP99Millis),
            "served at and around the crest: %.1f%%".format(PERCENT * peakFlow.answered.get() / maxOf(1, peakFlow.sent.get())),
            "long work received: %d and %d tokens".format(rows.getValue("long 1").tokens, rows.getValue("long 2").tokens),
        )
    }

    private suspend fun controlBytes(): Double = urls.sumOf { readMetric(it, "buckthornbay_control_sent_bytes_total") }

    private suspend fun readMetric(url: String, name: String): Double = client.get("$url/metrics").bodyAsText().lineSequence()
        .firstOrNull { it.startsWith("$name ") }
        ?.substringAfter(' ')?.toDoubleOrNull() ?: 0.0

    private companion object {
        const val PERCENT = 100.0
    }
}
