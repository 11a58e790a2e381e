package buckthornbay.soak

import buckthornbay.router.freeLoopbackPorts
import buckthornbay.router.gateway.readGatewaySettings
import java.io.File
import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit

/** One router as a process of its own; it is restarted under the same addresses. */
public class RouterHost internal constructor(
    private val number: Int,
    private val files: FleetFiles,
    private val storeAddress: String,
) {
    private val ports = freeLoopbackPorts(PORTS)
    private val readinessPort = ports[0]
    private val addressesPort = ports[1]
    private val settings = File(files.directory, "router-$number.toml")
    private val output = File(files.directory, "router-$number.log")
    private var process: Process? = null

    /** Where callers connect. */
    public val callersAddress: String = "127.0.0.1:${ports[2]}"
    internal val controlAddress: String = "127.0.0.1:${ports[3]}"

    /** Whether the process runs. */
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
        check(readGatewaySettings(text).isOk) { "the soak writes settings that the router does not accept" }
        settings.writeText(text)
    }

    /** Starts the process. */
    public fun start() {
        val command = listOf("java", "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar", files.routerJar.path)
        process = ProcessBuilder(command + listOf("--platform", "--config", settings.path))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
            .start()
    }

    /** Asks the process to stop. */
    public fun terminate() {
        process?.destroy()
    }

    /** Kills the process. */
    public fun kill() {
        process?.destroyForcibly()
    }

    /** Sends a signal by its [name] to the process, which must be this soak's own. */
    public fun signal(name: String) {
        val own = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", "-$name", own.pid().toString()).start().waitFor()
    }

    /** Waits until the process has ended; returns whether it did in [millis]. */
    public fun awaitEnd(millis: Long): Boolean = process?.waitFor(millis, TimeUnit.MILLISECONDS) ?: true

    /** Whether the host says that it is ready. */
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
        const val PORTS = 4
        const val READY_TIMEOUT_MILLIS = 500
    }
}

/** Where the routers' program is, and where their settings and logs go. */
public class FleetFiles(public val routerJar: File, public val directory: File)

/** The routers of one soak; they end with it. */
public class RouterFleet(size: Int, files: FleetFiles, storeAddress: (Int) -> String) : AutoCloseable {
    /** The hosts by number. */
    public val hosts: List<RouterHost> = List(size) { RouterHost(it, files, storeAddress(it)) }

    init {
        hosts.forEach { host -> host.writeSettings(hosts.take(SEEDS).map { it.controlAddress }) }
        hosts.forEach { it.start() }
    }

    override fun close() {
        hosts.forEach { host ->
            host.signal("CONT")
            host.kill()
        }
        hosts.forEach { it.awaitEnd(END_MILLIS) }
    }

    private companion object {
        const val SEEDS = 3
        const val END_MILLIS = 5_000L
    }
}
