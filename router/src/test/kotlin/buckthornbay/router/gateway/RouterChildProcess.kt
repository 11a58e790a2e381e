package buckthornbay.router.gateway

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A router process with the settings of [fixture], for tests of its memory and descriptors. */
internal class RouterChildProcess(
    private val fixture: GatewayFixture,
    private val metricsPort: Int,
    memoryOptions: List<String>,
) : AutoCloseable {
    private val folder: Path = Files.createTempDirectory("router")
    private val process: Process = start(memoryOptions)

    val isAlive: Boolean get() = process.isAlive

    /** Largest memory that the process has had so far, in megabytes. */
    val peakMegabytes: Long
        get() {
            val line = Files.readAllLines(Path.of("/proc/${process.pid()}/status")).first { it.startsWith("VmHWM:") }
            return line.filter { it.isDigit() }.toLong() / 1_024
        }

    /** Number of open file descriptors. */
    val descriptors: Int get() = Path.of("/proc/${process.pid()}/fd").toFile().list()?.size ?: 0

    /** What the process has written. */
    val log: String get() = Files.readString(folder.resolve("log"))

    private fun start(memoryOptions: List<String>): Process {
        val file = folder.resolve("settings.toml").also { Files.writeString(it, settings()) }
        val classPath = System.getProperty("java.class.path")
        val command =
            listOf("java") + memoryOptions + listOf("-cp", classPath, "buckthornbay.router.MainKt", "--platform", "--config")
        return ProcessBuilder(command + file.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile())
            .start()
    }

    private fun settings(): String = fixture.settings.run {
        """
        host = "$host"
        region = "$region"
        zone = "$zone"
        [listen]
        callers = "${listen.callers}"
        readiness = "${listen.readiness}"
        control = "${listen.control}"
        addresses = "${listen.addresses}"
        metrics = "127.0.0.1:$metricsPort"
        [store]
        address = "${store.address}"
        [bounds]
        graceSeconds = 4.0
        retryRatio = 0.2
        retryWindowSeconds = 10.0
        retrySlack = 60.0
        shareWindowSeconds = 4.0
        [[zones]]
        name = "$zone"
        region = "$region"
        """.trimIndent()
    }

    /** Ends the process by SIGKILL and waits until it is gone. */
    fun kill() {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS)
    }

    override fun close() {
        kill()
        folder.toFile().deleteRecursively()
    }
}
