package buckthornbay.router

import arrow.fx.coroutines.resourceScope
import buckthornbay.platform.PlatformFormat
import buckthornbay.platform.PlatformInterface
import buckthornbay.platform.PlatformStore
import buckthornbay.platform.PlatformWarmUp
import buckthornbay.protocol.TomlProblem
import buckthornbay.router.gateway.Deployment
import buckthornbay.router.gateway.SettingsFile
import buckthornbay.router.gateway.WarmUpRun
import buckthornbay.router.gateway.gatewayProcess
import buckthornbay.router.gateway.readGatewaySettings
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.io.File

/** Runs a router process; the entry point of `buckthornbayd`. */
public fun main(args: Array<String>): Unit = RouterCommand().main(args)

private class RouterCommand : CliktCommand(name = "buckthornbayd") {
    private val configOption by option("--config", help = "The TOML file with the router settings.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val rehearse by option("--rehearse", help = "Serve warm-up requests on loopback and exit; used by the build.").flag()
    private val config: File get() = configOption ?: throw UsageError("--config is required")
    private val platform by option(
        "--platform",
        help = "Run as a gateway of the platform; the --config file must contain gateway settings.",
    ).flag()
    private val check by option("--check", help = "Validate the settings and exit.").flag()

    init {
        versionOption(VERSION)
    }

    override fun help(context: Context): String = "Runs a router of a buckthornbay fleet."

    override fun run() = when {
        rehearse -> runWarmUp()
        platform -> runGateway()
        else -> runRouter()
    }

    private fun runWarmUp() {
        System.setProperty("logback.configurationFile", "logback-json.xml")
        val answered = runBlocking { WarmUpRun(PLATFORM, PlatformWarmUp).run(WARM_UP_ROUNDS) }
        echo("warm-up finished: $answered requests answered", err = true)
        if (answered == 0) throw ProgramResult(EXIT_WARM_UP_FAILED)
    }

    private fun runGateway() {
        val settings = readGatewaySettings(config.readText()).getOrElse { exitWithProblems(it) }
        if (check) return echo("${config.path}: the settings are valid")
        System.setProperty("logback.configurationFile", "logback-json.xml")
        runBlocking {
            val terminated = installSignalHandlers()
            resourceScope {
                val process = gatewayProcess(settings, PLATFORM)
                val reloading = launch { SettingsFile(config).follow { process.reload(it) } }
                terminated.await()
                reloading.cancel()
                process.drain()
            }
        }
    }

    private fun runRouter() {
        val settings = readRouterSettings(config.readText()).getOrElse { exitWithProblems(it) }
        if (check) {
            echo("${config.path}: the settings are valid")
            return
        }
        prepareRuntime(settings)
        serve(settings)
    }

    private fun exitWithProblems(problems: List<TomlProblem>): Nothing {
        problems.forEach { echo("${config.path}: $it", err = true) }
        throw ProgramResult(EXIT_BAD_SETTINGS)
    }

    /** Sets the system properties that must be set before the first log line is written and the first connection is opened. */
    private fun prepareRuntime(settings: RouterSettings) {
        if (settings.logFormat == LogFormat.JSON) System.setProperty("logback.configurationFile", "logback-json.xml")
        System.setProperty("jdk.httpclient.keepalive.timeout", KEEP_ALIVE_SECONDS)
    }

    private fun serve(settings: RouterSettings) = runBlocking {
        val terminated = installSignalHandlers()
        resourceScope {
            val process = routerProcess(settings)
            terminated.await()
            process.drain()
        }
    }

    private fun installSignalHandlers(): CompletableDeferred<Unit> {
        val terminated = CompletableDeferred<Unit>()
        Signal.handle(Signal("TERM")) { terminate(terminated) }
        Signal.handle(Signal("INT")) { terminate(terminated) }
        return terminated
    }

    private fun terminate(terminated: CompletableDeferred<Unit>) {
        if (!terminated.complete(Unit)) Runtime.getRuntime().halt(EXIT_KILLED)
    }

    private companion object {
        const val VERSION = "0.1.0"
        const val EXIT_BAD_SETTINGS = 2
        const val EXIT_KILLED = 143
        const val EXIT_WARM_UP_FAILED = 1

        /** The number of warm-up rounds, which is large enough to run rarely used code as well. */
        const val WARM_UP_ROUNDS = 50
        val PLATFORM = Deployment(PlatformInterface, PlatformFormat) { transport, address -> PlatformStore(transport, address) }
        const val KEEP_ALIVE_SECONDS = "5"
    }
}
