package buckthornbay.operator

import buckthornbay.core.config.readDesiredState
import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.HostStatus
import buckthornbay.protocol.TomlProblem
import buckthornbay.protocol.readToml
import buckthornbay.store.DesiredStateStore
import buckthornbay.store.HttpObjectStore
import buckthornbay.store.StoreError
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
import io.ktor.client.plugins.HttpTimeout
import java.io.File

/** Exit code where the platform or a router can't be reached. */
internal const val EXIT_UNREACHABLE: Int = 1

/** Exit code where a file is wrong. */
internal const val EXIT_BAD_FILE: Int = 2

/** Exit code where another operator was faster. */
internal const val EXIT_CONFLICT: Int = 3

/** The option that names the operators' settings, shared by all commands that reach a fleet. */
internal class SettingsOption : OptionGroup() {
    val file: File by option("--config", envvar = "BUCKTHORNBAY_CONFIG", help = "The operators' settings, a TOML file.")
        .file(mustExist = true, canBeDir = false)
        .default(File("operator.toml"))
}

/** Reaches the fleet on behalf of [command]. */
internal class OperatorContext(private val command: CliktCommand, file: File) : AutoCloseable {
    val settings: OperatorSettings = readToml(OperatorSettings.serializer(), file.readText())
        .getOrElse { command.failFile(file, it) }
        .value
    val client: HttpClient = callerClient()
    val states: DesiredStateStore = DesiredStateStore(HttpObjectStore(client, settings.platformUrl))
    val routers: RouterApi = RouterApi(client, settings.operatorKey)

    /** Returns the status of the first router that answers, or ends the command. */
    suspend fun anyStatus(): HostStatus {
        val errors = ArrayList<String>()
        for (url in settings.routerUrls) {
            return routers.status(url).getOrElse {
                errors += it
                null
            } ?: continue
        }
        command.fail("no router answers: ${errors.joinToString("; ").ifEmpty { "routerUrls is empty" }}", EXIT_UNREACHABLE)
    }

    fun <T> orFail(result: Result<T, StoreError>): T =
        result.getOrElse { command.fail("the platform: $it", if (it is StoreError.Conflict) EXIT_CONFLICT else EXIT_UNREACHABLE) }

    override fun close() = client.close()
}

/** Returns a client that speaks HTTP/1.1 and leaves statuses to its user. */
internal fun callerClient(): HttpClient = HttpClient(Java) {
    expectSuccess = false
    engine { protocolVersion = java.net.http.HttpClient.Version.HTTP_1_1 }
    install(HttpTimeout)
}

/** Reads a desired state from [file] or ends the command with all its problems. */
internal fun CliktCommand.readStateFile(file: File, emptyAllowed: Boolean = false): DesiredState =
    readDesiredState(file.readText(), emptyAllowed).getOrElse { failFile(file, it) }

/** Ends the command because [file] has [problems]. */
internal fun CliktCommand.failFile(file: File, problems: List<TomlProblem>): Nothing {
    problems.forEach { echo("${file.path}: $it", err = true) }
    throw ProgramResult(EXIT_BAD_FILE)
}

/** Ends the command with [message] and [exitCode]. */
internal fun CliktCommand.fail(message: String, exitCode: Int): Nothing {
    echo(message, err = true)
    throw ProgramResult(exitCode)
}
