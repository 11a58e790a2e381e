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

/** Runs one router process. */
public fun main(args: Array<String>): Unit = RouterCommand().main(args)

private class RouterCommand : CliktCommand(name = "buckthornbayd") {
    private val configOption by option("--config", help = "The router's settings, a TOML file.")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val rehearse by option("--rehearse", help = "Serve a few requests on loopback and exit; used by the build.").flag()
    private val config: File get() = configOption ?: throw UsageError("name the settings with --config")
    private val platform by option(
        "--platform",
        help = "Serve the platform's callers and upstreams; the settings are a gateway's.",
    ).flag()
    private val check by option("--check", help = "Check the settings and exit.").flag()

    init {
        versionOption(VERSION)
    }

    override fun help(context: Context): String = "Runs one router of a buckthornbay fleet."

    override fun run() = when {
        rehearse -> runRehearsal()
        platform -> runGateway()
        else -> runRouter()
    }

    private fun runRehearsal() {
        System.setProperty("logback.configurationFile", "logback-json.xml")
        val answered = runBlocking { WarmUpRun(PLATFORM, PlatformWarmUp).run(REHEARSAL_ROUNDS) }
        echo("rehearsed: $answered requests were answered", err = true)
        if (answered == 0) throw ProgramResult(EXIT_REHEARSAL_FAILED)
    }

    private fun runGateway() {
        val settings = readGatewaySettings(config.readText()).getOrElse { stopOn(it) }
        if (check) return echo("${config.path}: the settings are valid")
        System.setProperty("logback.configurationFile", "logback-json.xml")
        runBlocking {
            val terminated = awaitSignal()
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
        val settings = readRouterSettings(config.readText()).getOrElse { stopOn(it) }
        if (check) {
            echo("${config.path}: the settings are valid")
            return
        }
        prepareRuntime(settings)
        serve(settings)
    }

    private fun stopOn(problems: List<TomlProblem>): Nothing {
        problems.forEach { echo("${config.path}: $it", err = true) }
        throw ProgramResult(EXIT_BAD_SETTINGS)
    }

    /** Sets what must stand before the first log line and the first connection. */
    private fun prepareRuntime(settings: RouterSettings) {
        if (settings.logFormat == LogFormat.JSON) System.setProperty("logback.configurationFile", "logback-json.xml")
        System.setProperty("jdk.httpclient.keepalive.timeout", IDLE_CONNECTION_SECONDS)
    }

    private fun serve(settings: RouterSettings) = runBlocking {
        val terminated = awaitSignal()
        resourceScope {
            val process = routerProcess(settings)
            terminated.await()
            process.drain()
        }
    }

    private fun awaitSignal(): CompletableDeferred<Unit> {
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
        const val EXIT_REHEARSAL_FAILED = 1

        /** Rounds of a rehearsal, so that code which runs only now and then is run as well. */
        const val REHEARSAL_ROUNDS = 50
        val PLATFORM = Deployment(PlatformInterface, PlatformFormat) { transport, address -> PlatformStore(transport, address) }
        const val IDLE_CONNECTION_SECONDS = "5"
    }
}
