package buckthornbay.benchmark

import buckthornbay.core.config.readDesiredState
import buckthornbay.protocol.WireJson
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.builtins.ListSerializer
import java.io.File

/** Runs the benchmark's command line. */
public fun main(args: Array<String>): Unit = BenchmarkCommand().subcommands(TableCommand(), SlopesCommand()).main(args)

private class BenchmarkCommand : CliktCommand(name = "benchmark") {
    override fun help(context: Context): String = "Measures the router's scheduling and how its costs grow with the fleet."

    override fun run() = Unit
}

private class SlopesCommand : CliktCommand(name = "slopes") {
    override fun help(context: Context): String = "Prints how state, messages, memory and time grow with the fleet."

    override fun run() = Slopes().all().forEach { echo(it.toString()) }
}

private class TableCommand : CliktCommand(name = "table") {
    private val state by option("--state", help = "The desired state, a TOML file.").file(mustExist = true)
        .default(File("examples/glenmorrach.toml"))
    private val seed by option("--seed", help = "Seed of the random arrivals and request sizes.").long().default(1)
    private val json by option("--json", help = "Also write the table as JSON to this file.").file(canBeDir = false)

    override fun help(context: Context): String = "Prints measures of the router's scheduling and its baselines in virtual time."

    override fun run() {
        val desired = readDesiredState(state.readText()).getOrElse { problems ->
            problems.forEach { echo("${state.path}: $it", err = true) }
            throw ProgramResult(2)
        }
        val rows = Measures(desired, seed).all()
        rows.groupBy { it.measure }.forEach { (measure, entries) -> echo(formatRow(measure, entries)) }
        json?.writeText(WireJson.encodeToString(ListSerializer(MeasureRow.serializer()), rows))
    }

    private fun formatRow(measure: String, entries: List<MeasureRow>): String {
        val routerRow = entries.first { it.scheduling == "buckthornbay" }
        val verdict = if (routerRow.met) "met" else "MISSED"
        val values = entries.joinToString("  ") { "%s %.3f".format(it.scheduling, it.value) }
        return "%-55s target %-6s %-6s  %s".format(measure, routerRow.target, verdict, values)
    }
}
