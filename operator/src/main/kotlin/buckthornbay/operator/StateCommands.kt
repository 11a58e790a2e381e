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
    option("--allow-empty", help = "Accept an empty state, without any workspace, service and upstream.").flag()

internal class ValidateCommand : CliktCommand(name = "validate") {
    private val file by argument(help = "The desired state, a TOML file.").file(mustExist = true, canBeDir = false)

    private val allowEmpty by allowEmptyOption()

    override fun help(context: Context): String = "Validates a desired state and prints all errors."

    override fun run() {
        val state = readStateFile(file, allowEmpty)
        val counts = "${state.workspaces.size} workspaces, ${state.services.size} services, ${state.upstreams.size} upstreams"
        echo("${file.path}: valid; $counts")
    }
}

internal class DiffCommand : CliktCommand(name = "diff") {
    private val settings by SettingsOption()
    private val file by argument(help = "The desired state, a TOML file.").file(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "Shows the changes that applying a file would make."

    override fun run() = runBlocking {
        OperatorContext(this@DiffCommand, settings.file).use { context ->
            val desired = readStateFile(file)
            val current = context.orFail(context.states.read())
            val differences = diffStates(current?.state ?: DesiredState(), desired)
            differences.forEach { echo(it.toString()) }
            echo("${differences.size} differences from version ${current?.version ?: 0}")
        }
    }
}

internal class ApplyCommand : CliktCommand(name = "apply") {
    private val settings by SettingsOption()
    private val file by argument(help = "The desired state, a TOML file.").file(mustExist = true, canBeDir = false)
    private val allowEmpty by allowEmptyOption()
    private val expect by option("--expect", help = "Apply only if this is the current version, as printed by diff.").long()

    override fun help(context: Context): String = "Replaces the desired state, unless another operator has changed it since."

    override fun run() = runBlocking {
        OperatorContext(this@ApplyCommand, settings.file).use { apply(it) }
    }

    private suspend fun apply(context: OperatorContext) {
        val desired = readStateFile(file, allowEmpty)
        val current = context.orFail(context.states.read())
        val expected = expect ?: current?.version ?: 0
        if (current != null && diffStates(current.state, desired).isEmpty()) {
            echo("version ${current.version} is already in effect and has the same content")
            return
        }
        val version = context.states.apply(desired, expected, UUID.randomUUID().toString()).getOrElse { error ->
            if (error is StoreError.Conflict) showConflict(context, desired, expected, error)
            fail("the platform did not confirm the change: $error", EXIT_FAILURE)
        }
        echo("version $version is applied")
    }

    private suspend fun showConflict(
        context: OperatorContext,
        desired: DesiredState,
        expected: Long,
        conflict: StoreError.Conflict,
    ): Nothing {
        val latest = context.orFail(context.states.read())
        diffStates(latest?.state ?: DesiredState(), desired).forEach { echo(it.toString(), err = true) }
        fail(
            "conflict: expected version $expected, current version ${conflict.currentVersion}; nothing was changed. " +
                "Lines with - are from the current version, lines with + from the file; merge them and apply again.",
            EXIT_CONFLICT,
        )
    }
}

internal class GetCommand : CliktCommand(name = "get") {
    private val settings by SettingsOption()

    override fun help(context: Context): String = "Prints the current desired state as TOML."

    override fun run() = runBlocking {
        OperatorContext(this@GetCommand, settings.file).use { context ->
            val current = context.orFail(context.states.read()) ?: fail("no desired state has been applied yet", EXIT_FAILURE)
            echo("# version ${current.version}")
            echo(writeToml(current.state))
        }
    }
}
