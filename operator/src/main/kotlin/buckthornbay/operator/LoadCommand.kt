package buckthornbay.operator

import buckthornbay.protocol.WireJson
import buckthornbay.protocol.readToml
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer

internal class LoadCommand : CliktCommand(name = "load") {
    private val settings by SettingsOption()
    private val scenarioFile by argument(
        name = "scenario",
        help = "Load scenario, a TOML file.",
    ).file(mustExist = true, canBeDir = false)
    private val json by option("--json", help = "Also write the table as JSON to this file.").file(canBeDir = false)

    override fun help(context: Context): String = "Sends the requests of a scenario to a fleet and prints outcomes and latencies."

    override fun run() = runBlocking {
        val scenario = readToml(LoadScenario.serializer(), scenarioFile.readText()).getOrElse {
            failFile(scenarioFile, it)
        }.value
        OperatorContext(this@LoadCommand, settings.file).use { send(it, scenario) }
    }

    private suspend fun send(context: OperatorContext, scenario: LoadScenario) {
        val runner = LoadRunner(context.client, context.settings.routerUrls, scenario)
        runner.run { second -> echo(progressOf(second, scenario, runner), err = true) }
        val rows = runner.tallies.map { it.row() }
        echo(tableOf(rows))
        json?.writeText(WireJson.encodeToString(ListSerializer(FlowRow.serializer()), rows))
    }
}

/** Formats the progress of a load run as one line. */
internal fun progressOf(second: Int, scenario: LoadScenario, runner: LoadRunner): String {
    val sent = runner.tallies.sumOf { it.sent.get() }
    val answered = runner.tallies.sumOf { it.answered.get() }
    val notAnswered = runner.tallies.sumOf { it.notRun.get() + it.failed.get() + it.unknown.get() }
    return "%3d/%d s  sent %d  answered %d  not answered %d".format(second, scenario.durationSeconds, sent, answered, notAnswered)
}
