package buckthornbay.operator

import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.writeToml
import buckthornbay.store.StoreError
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import java.util.UUID

private fun CliktCommand.allowEmptyOption() =
    option("--allow-empty", help = "Accept a state without any workspace, service and upstream.").flag()

internal class ValidateCommand : CliktCommand(name = "validate") {
    private val file by argument(help = "The desired state, a TOML file.").file(mustExist = true, canBeDir = false)

    private val allowEmpty by allowEmptyOption()

    override fun help(context: Context): String = "Checks a desired state and prints all that is wrong with it."

    override fun run() {
        val state = readStateFile(file, allowEmpty)
        val counts = "${state.workspaces.size} workspaces, ${state.services.size} services, ${state.upstreams.size} upstreams"
        echo("${file.path}: valid; $counts")
    }
}

internal class DiffCommand : CliktCommand(name = "diff") {
    private val settings by SettingsOption()
    private val file by argument(help = "The desired state, a TOML file.").file(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "Shows what applying a file would change."

    override fun run() = runBlocking {
        OperatorContext(this@DiffCommand, settings.file).use { context ->
            val wanted = readStateFile(file)
            val current = context.orFail(context.states.read())
            val differences = diffStates(current?.state ?: DesiredState(), wanted)
            differences.forEach { echo(it.toString()) }
            echo("${differences.size} differences from version ${current?.version ?: 0}")
        }
    }
}

internal class ApplyCommand : CliktCommand(name = "apply") {
    private val settings by SettingsOption()
    private val file by argument(help = "The desired state, a TOML file.").file(mustExist = true, canBeDir = false)
    private val allowEmpty by allowEmptyOption()
    private val expect by option("--expect", help = "Apply only if this version is in force, as diff printed it.").long()

    override fun help(context: Context): String = "Puts a whole desired state in force, unless another operator was faster."

    override fun run() = runBlocking {
        OperatorContext(this@ApplyCommand, settings.file).use { apply(it) }
    }

    private suspend fun apply(context: OperatorContext) {
        val wanted = readStateFile(file, allowEmpty)
        val current = context.orFail(context.states.read())
        val expected = expect ?: current?.version ?: 0
        if (current != null && diffStates(current.state, wanted).isEmpty()) {
            echo("version ${current.version} is in force already and says the same")
            return
        }
        val version = context.states.apply(wanted, expected, UUID.randomUUID().toString()).getOrElse { error ->
            if (error is StoreError.Conflict) showConflict(context, wanted, expected, error)
            fail("nothing was changed for certain by this apply: $error", EXIT_UNREACHABLE)
        }
        echo("version $version is applied")
    }

    private suspend fun showConflict(
        context: OperatorContext,
        wanted: DesiredState,
        expected: Long,
        conflict: StoreError.Conflict,
    ): Nothing {
        val theirs = context.orFail(context.states.read())
        diffStates(theirs?.state ?: DesiredState(), wanted).forEach { echo(it.toString(), err = true) }
        fail(
            "version $expected was expected and version ${conflict.currentVersion} is in force; nothing was changed. " +
                "Lines with - are in force, lines with + are yours; merge them and apply again.",
            EXIT_CONFLICT,
        )
    }
}

internal class GetCommand : CliktCommand(name = "get") {
    private val settings by SettingsOption()

    override fun help(context: Context): String = "Prints the desired state in force as TOML."

    override fun run() = runBlocking {
        OperatorContext(this@GetCommand, settings.file).use { context ->
            val current = context.orFail(context.states.read()) ?: fail("no state was ever applied", EXIT_UNREACHABLE)
            echo("# version ${current.version}")
            echo(writeToml(current.state))
        }
    }
}
