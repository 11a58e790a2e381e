package buckthornbay.operator

import arrow.fx.coroutines.ResourceScope
import arrow.fx.coroutines.resourceScope
import buckthornbay.protocol.HostId
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ZoneId
import buckthornbay.router.RouterSettings
import buckthornbay.router.freeLoopbackPorts
import buckthornbay.router.routerProcess
import buckthornbay.store.DesiredStateStore
import buckthornbay.testkit.EngineFaults
import buckthornbay.testkit.StandIns
import buckthornbay.testkit.standIns
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.michaelbull.result.getOrElse
import io.ktor.client.HttpClient
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.io.File

internal class StandInsCommand : CliktCommand(name = "stand-ins") {
    private val file by argument(help = "The desired state, a TOML file.").file(mustExist = true, canBeDir = false)
    private val platformPort by option("--platform-port", help = "The platform's TCP port.").int().default(9_000)

    override fun help(context: Context): String =
        "Runs stand-ins for the platform and for all upstreams that a desired state names."

    override fun run() = runBlocking {
        resourceScope {
            val standIns = standIns(readStateFile(file), platformPort, fixedPorts = true)
            echo("platform ${standIns.platformUrl}, ${standIns.state.upstreams.size} upstreams")
            awaitCancellation()
        }
    }
}

internal class DemoCommand : CliktCommand(name = "demo") {
    private val seconds by option("--seconds", help = "How long requests are sent.").int().default(60)
    private val hosts by option("--hosts", help = "How many routers run, spread over the regions.").int().default(9)
    private val state by option("--state", help = "The desired state, a TOML file.").file(mustExist = true, canBeDir = false)
        .default(File("examples/glenmorrach.toml"))

    override fun help(context: Context): String = "Runs a whole fleet on embedded stand-ins under a minute of mixed load."

    override fun run() = runBlocking {
        resourceScope { demo() }
    }

    private suspend fun ResourceScope.demo() {
        val standIns = standIns(readStateFile(state))
        val urls = startRouters(standIns)
        val client = install({ callerClient() }, { client, _ -> client.close() })
        val version = DesiredStateStore(standIns.store).apply(standIns.state, expectedVersion = 0, applyId = "demo")
            .getOrElse { fail("the stand-in platform: $it", EXIT_UNREACHABLE) }
        val adopted = withTimeoutOrNull(ADOPT_MILLIS) { awaitVersion(client, urls, version) }
            ?: fail("the routers did not take up the configuration in $ADOPT_MILLIS ms", EXIT_UNREACHABLE)
        echo("$hosts routers, ${standIns.state.upstreams.size} upstreams; version $version in force everywhere after $adopted ms")
        val scenario = demoScenario(standIns.state, seconds)
        val runner = LoadRunner(client, urls, scenario)
        val measures = DemoMeasures(client, urls, runner)
        measures.begin()
        runner.run { second ->
            slowTwoEngines(standIns, second)
            if (second % PROGRESS_SECONDS == 0) echo(progressOf(second, scenario, runner))
        }
        echo(tableOf(runner.tallies.map { it.row() }))
        measures.lines(seconds).forEach { echo(it) }
    }

    private suspend fun ResourceScope.startRouters(standIns: StandIns): List<String> {
        val regions = standIns.state.upstreams.map { it.region to it.zone }.distinct()
        val ports = freeLoopbackPorts(hosts)
        val urls = ports.map { "http://127.0.0.1:$it" }
        ports.forEachIndexed { index, port ->
            val (region, zone) = regions[index % regions.size]
            val name = HostId("$region-${index / regions.size + 1}")
            routerProcess(settingsOf(name, region, zone, port, urls, standIns.platformUrl))
        }
        return urls
    }

    private fun settingsOf(host: HostId, region: RegionId, zone: ZoneId, port: Int, urls: List<String>, platformUrl: String) =
        RouterSettings(
            host = host,
            region = region,
            zone = zone,
            url = "http://127.0.0.1:$port",
            listenPort = port,
            platformUrl = platformUrl,
            seedUrls = urls.take(SEEDS),
            fleetKey = "demo-fleet-key",
            operatorKey = DEMO_OPERATOR_KEY,
        )

    private suspend fun awaitVersion(client: HttpClient, urls: List<String>, version: Long): Long {
        val api = RouterApi(client, DEMO_OPERATOR_KEY)
        val startNanos = System.nanoTime()
        while (urls.any { (api.status(it).getOrElse { null }?.stateVersion ?: 0) < version }) delay(POLL_MILLIS)
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI
    }

    /** Slows two engines fivefold in the second third of the run. */
    private fun slowTwoEngines(standIns: StandIns, second: Int) {
        val factor = if (second in seconds / THIRDS until seconds * 2 / THIRDS) SLOW_FACTOR else 1.0
        standIns.engines.entries.sortedBy { it.key.value }.take(2).forEach { it.value.faults = EngineFaults(slowFactor = factor) }
    }

    private companion object {
        const val ADOPT_MILLIS = 20_000L
        const val POLL_MILLIS = 50L
        const val NANOS_PER_MILLI = 1_000_000L
        const val PROGRESS_SECONDS = 5
        const val SEEDS = 3
        const val SLOW_FACTOR = 5.0
        const val THIRDS = 3
    }
}

/** The operators' key of a demo fleet. */
internal const val DEMO_OPERATOR_KEY: String = "demo-operator-key"
