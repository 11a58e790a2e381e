package buckthornbay.soak

import buckthornbay.router.freeLoopbackPorts
import buckthornbay.router.gateway.readGatewaySettings
import java.io.File
import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit

/** A router that runs as a separate process and keeps its addresses across restarts. */
public class RouterHost internal constructor(
    private val number: Int,
    private val files: FleetFiles,
    private val storeAddress: String,
) {
    private val ports = freeLoopbackPorts(PORT_COUNT)
    private val readinessPort = ports[0]
    private val addressesPort = ports[1]
    private val settingsFile = File(files.directory, "router-$number.toml")
    private val logFile = File(files.directory, "router-$number.log")
    private var process: Process? = null

    /** Listen address for callers, as `IP:PORT`. */
    public val callersAddress: String = "127.0.0.1:${ports[2]}"
    internal val controlAddress: String = "127.0.0.1:${ports[3]}"

    /** Whether the process is running. */
    public val isAlive: Boolean get() = process?.isAlive == true

    internal fun writeSettings(seeds: List<String>) {
        val text = """
            host = "edge-$number"
            region = "region"
            zone = "zone"
            seeds = [${seeds.joinToString { "\"$it\"" }}]
            [listen]
            callers = "$callersAddress"
            readiness = "127.0.0.1:$readinessPort"
            control = "$controlAddress"
            addresses = "127.0.0.1:$addressesPort"
            [store]
            address = "$storeAddress"
            [bounds]
            graceSeconds = 8
            retryRatio = 0.2
            retryWindowSeconds = 10
            retrySlack = 60
            shareWindowSeconds = 4
            [[zones]]
            name = "zone"
            region = "region"
        """.trimIndent()
        check(readGatewaySettings(text).isOk) { "the router rejects the settings written by the soak" }
        settingsFile.writeText(text)
    }

    /** Starts the process; its output is appended to the log file. */
    public fun start() {
        val command = listOf("java", "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar", files.routerJar.path)
        process = ProcessBuilder(command + listOf("--platform", "--config", settingsFile.path))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile))
            .start()
    }

    /** Requests an orderly shutdown of the process (SIGTERM). */
    public fun terminate() {
        process?.destroy()
    }

    /** Kills the process (SIGKILL). */
    public fun kill() {
        process?.destroyForcibly()
    }

    /** Sends the signal [name], such as `STOP`, only to the process started by this object; does nothing if it is not running. */
    public fun signal(name: String) {
        val running = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", "-$name", running.pid().toString()).start().waitFor()
    }

    /** Waits up to [millis] milliseconds for the process to exit; returns whether it has exited. */
    public fun awaitExit(millis: Long): Boolean = process?.waitFor(millis, TimeUnit.MILLISECONDS) ?: true

    /** Returns whether the readiness endpoint answers with status 200. */
    public fun isReady(): Boolean = try {
        Socket("127.0.0.1", readinessPort).use { socket ->
            socket.soTimeout = READY_TIMEOUT_MILLIS
            socket.getOutputStream().write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n".encodeToByteArray())
            socket.getInputStream().bufferedReader().readLine().orEmpty().contains(" 200 ")
        }
    } catch (_: IOException) {
        false
    }

    private companion object {
        const val PORT_COUNT = 4
        const val READY_TIMEOUT_MILLIS = 500
    }
}

/**
 * File locations of a soak.
 *
 * @property routerJar executable jar file of the router.
 * @property directory directory for the settings and logs of the routers.
 */
public class FleetFiles(public val routerJar: File, public val directory: File)

/** The router processes of a soak; they start on construction and are killed on [close]. */
public class RouterFleet(size: Int, files: FleetFiles, storeAddress: (Int) -> String) : AutoCloseable {
    /** The hosts, indexed by number. */
    public val hosts: List<RouterHost> = List(size) { RouterHost(it, files, storeAddress(it)) }

    init {
        hosts.forEach { host -> host.writeSettings(hosts.take(SEED_COUNT).map { it.controlAddress }) }
        hosts.forEach { it.start() }
    }

    override fun close() {
        hosts.forEach { host ->
            host.signal("CONT")
            host.kill()
        }
        hosts.forEach { it.awaitExit(EXIT_TIMEOUT_MILLIS) }
    }

    private companion object {
        const val SEED_COUNT = 3
        const val EXIT_TIMEOUT_MILLIS = 5_000L
    }
}
