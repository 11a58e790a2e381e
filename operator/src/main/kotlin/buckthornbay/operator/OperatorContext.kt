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

/** Exit code for a failed command, for example because the platform is unreachable or a host is unknown. */
internal const val EXIT_FAILURE: Int = 1

/** Exit code for an invalid file. */
internal const val EXIT_BAD_FILE: Int = 2

/** Exit code for a conflicting change by another operator. */
internal const val EXIT_CONFLICT: Int = 3

/** Option for the operator settings file, shared by all commands that connect to a fleet. */
internal class SettingsOption : OptionGroup() {
    val file: File by option("--config", envvar = "BUCKTHORNBAY_CONFIG", help = "Operator settings, a TOML file.")
        .file(mustExist = true, canBeDir = false)
        .default(File("operator.toml"))
}

/** Settings and clients with which [command] accesses the platform and the routers. */
internal class OperatorContext(private val command: CliktCommand, file: File) : AutoCloseable {
    val settings: OperatorSettings = readToml(OperatorSettings.serializer(), file.readText())
        .getOrElse { command.failFile(file, it) }
        .value
    val client: HttpClient = createHttpClient()
    val states: DesiredStateStore = DesiredStateStore(HttpObjectStore(client, settings.platformUrl))
    val routers: RouterApi = RouterApi(client, settings.operatorKey)

    /** Returns the status of the first router that responds; fails the command if none does. */
    suspend fun firstReachableStatus(): HostStatus {
        val errors = ArrayList<String>()
        for (url in settings.routerUrls) {
            return routers.status(url).getOrElse {
                errors += it
                null
            } ?: continue
        }
        command.fail("no router responds: ${errors.joinToString("; ").ifEmpty { "routerUrls is empty" }}", EXIT_FAILURE)
    }

    fun <T> orFail(result: Result<T, StoreError>): T = result.getOrElse {
        command.fail("platform call failed: $it", if (it is StoreError.Conflict) EXIT_CONFLICT else EXIT_FAILURE)
    }

    override fun close() = client.close()
}

/** Creates an HTTP/1.1 client that returns error statuses as responses rather than throwing. */
internal fun createHttpClient(): HttpClient = HttpClient(Java) {
    expectSuccess = false
    engine { protocolVersion = java.net.http.HttpClient.Version.HTTP_1_1 }
    install(HttpTimeout)
}

/** Reads a desired state from [file]; fails the command with all problems if it is invalid. */
internal fun CliktCommand.readStateFile(file: File, emptyAllowed: Boolean = false): DesiredState =
    readDesiredState(file.readText(), emptyAllowed).getOrElse { failFile(file, it) }

/** Prints [problems] of [file] and exits with [EXIT_BAD_FILE]. */
internal fun CliktCommand.failFile(file: File, problems: List<TomlProblem>): Nothing {
    problems.forEach { echo("${file.path}: $it", err = true) }
    throw ProgramResult(EXIT_BAD_FILE)
}

/** Prints [message] on standard error and exits with [exitCode]. */
internal fun CliktCommand.fail(message: String, exitCode: Int): Nothing {
    echo(message, err = true)
    throw ProgramResult(exitCode)
}
