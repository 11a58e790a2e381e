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
    private val platformPort by option("--platform-port", help = "TCP port of the platform stand-in.").int().default(9_000)

    override fun help(context: Context): String = "Runs stand-ins for the platform and for all upstreams of a desired state."

    override fun run() = runBlocking {
        resourceScope {
            val standIns = standIns(readStateFile(file), platformPort, fixedPorts = true)
            echo("platform ${standIns.platformUrl}, ${standIns.state.upstreams.size} upstreams")
            awaitCancellation()
        }
    }
}

internal class DemoCommand : CliktCommand(name = "demo") {
    private val seconds by option("--seconds", help = "Duration of the load, in seconds.").int().default(60)
    private val hosts by option("--hosts", help = "Number of routers, distributed over the regions.").int().default(9)
    private val state by option("--state", help = "The desired state, a TOML file.").file(mustExist = true, canBeDir = false)
        .default(File("examples/glenmorrach.toml"))

    override fun help(context: Context): String = "Runs a complete fleet with embedded stand-ins under mixed load."

    override fun run() = runBlocking {
        resourceScope { runDemo() }
    }

    private suspend fun ResourceScope.runDemo() {
        val standIns = standIns(readStateFile(state))
        val urls = startRouters(standIns)
        val client = install({ createHttpClient() }, { client, _ -> client.close() })
        val version = DesiredStateStore(standIns.store).apply(standIns.state, expectedVersion = 0, applyId = "demo")
            .getOrElse { fail("the platform stand-in did not accept the desired state: $it", EXIT_FAILURE) }
        val elapsedMillis = withTimeoutOrNull(ADOPTION_TIMEOUT_MILLIS) { awaitVersion(client, urls, version) }
            ?: fail("the routers did not adopt the configuration within $ADOPTION_TIMEOUT_MILLIS ms", EXIT_FAILURE)
        echo(
            "$hosts routers, ${standIns.state.upstreams.size} upstreams; version $version on all routers after $elapsedMillis ms",
        )
        val scenario = demoScenario(standIns.state, seconds)
        val runner = LoadRunner(client, urls, scenario)
        val measures = DemoMeasures(client, urls, runner)
        measures.recordBaseline()
        runner.run { second ->
            slowTwoEngines(standIns, second)
            if (second % PROGRESS_INTERVAL_SECONDS == 0) echo(progressOf(second, scenario, runner))
        }
        echo(tableOf(runner.tallies.map { it.row() }))
        measures.summaryLines(seconds).forEach { echo(it) }
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
            seedUrls = urls.take(SEED_COUNT),
            fleetKey = "demo-fleet-key",
            operatorKey = DEMO_OPERATOR_KEY,
        )

    private suspend fun awaitVersion(client: HttpClient, urls: List<String>, version: Long): Long {
        val api = RouterApi(client, DEMO_OPERATOR_KEY)
        val startNanos = System.nanoTime()
        while (urls.any { (api.status(it).getOrElse { null }?.stateVersion ?: 0) < version }) delay(POLL_INTERVAL_MILLIS)
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI
    }

    /** Slows down two engines by [SLOW_FACTOR] during the middle third of the run. */
    private fun slowTwoEngines(standIns: StandIns, second: Int) {
        val factor = if (second in seconds / THIRDS until seconds * 2 / THIRDS) SLOW_FACTOR else 1.0
        standIns.engines.entries.sortedBy { it.key.value }.take(2).forEach { it.value.faults = EngineFaults(slowFactor = factor) }
    }

    private companion object {
        const val ADOPTION_TIMEOUT_MILLIS = 20_000L
        const val POLL_INTERVAL_MILLIS = 50L
        const val NANOS_PER_MILLI = 1_000_000L
        const val PROGRESS_INTERVAL_SECONDS = 5
        const val SEED_COUNT = 3
        const val SLOW_FACTOR = 5.0
        const val THIRDS = 3
    }
}

/** Operator key of a demo fleet. */
internal const val DEMO_OPERATOR_KEY: String = "demo-operator-key"
