package buckthornbay.router.gateway

import buckthornbay.router.freeLoopbackPorts
import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.ScriptedExchange
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests a router process with the memory that the deploy file gives it. */
class ProcessMemoryTest {
    /**
     * Faulty upstreams send long bodies without end on many connections at once, beside sound traffic.
     *
     * Guards against a host that keeps all of them, runs out of memory and fails the requests of others.
     */
    @Test
    fun manyBodiesWithoutEndCostNoSoundRequest() = runBlocking {
        PlatformStoreServer().use { store ->
            val metricsPort = freeLoopbackPorts(1).single()
            GatewayFixture(store).use { fixture ->
                fixture.manifest()
                repeat(UPSTREAMS) { number ->
                    fixture.upstream("plain-$number", "plain") {
                        if ("/charge/" in
                            it.request.line
                        ) {
                            it.sendWithoutEnd()
                        } else {
                            it.answer()
                        }
                    }
                }
                val folder = Files.createTempDirectory("router")
                val process = start(fixture, folder, metricsPort)
                try {
                    GatewayFixture.awaitTrue("the process is ready", limitMillis = 20_000) {
                        runCatching { fixture.isReady() }.getOrDefault(false)
                    }
                    val endless = List(ENDLESS) { number ->
                        async(Dispatchers.IO) {
                            fixture.call(request("/charge/x", "endless-$number", method = "POST", body = "a"))
                        }
                    }
                    val sound = List(SOUND) { number ->
                        delay(20)
                        async(Dispatchers.IO) { fixture.call(request("/read/x", "sound-$number")) }
                    }
                    assertEquals(
                        emptyList(),
                        sound.awaitAll().map {
                            it.status
                        }.filter { it != 200 },
                        "sound requests that failed",
                    )
                    assertEquals(emptyList(), endless.awaitAll().map { it.status }.filter { it != 502 && it != 504 && it != 503 })
                    assertTrue(process.isAlive)
                    val peakMegabytes = peakMegabytes(process)
                    assertTrue(peakMegabytes < MEMORY_MEGABYTES, "$peakMegabytes MB")
                } finally {
                    process.destroyForcibly().waitFor(10, TimeUnit.SECONDS)
                    folder.toFile().deleteRecursively()
                }
            }
        }
    }

    /** Sends almost as much as a body may have, and then the rest byte by byte, so that many bodies are held at once. */
    private fun ScriptedExchange.sendWithoutEnd() = try {
        write("HTTP/1.1 200 OK\r\n${requiredHeaders()}\r\n")
        repeat(BODY_PIECES) { write("x".repeat(PIECE_BYTES)) }
        while (true) {
            write("x")
            Thread.sleep(50)
        }
    } catch (_: IOException) {
        // The router has closed the connection.
    }

    private fun start(fixture: GatewayFixture, folder: Path, metricsPort: Int): Process {
        val settings = fixture.settings.run {
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
            address = "${this.store.address}"
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
        val file = folder.resolve("settings.toml").also { Files.writeString(it, settings) }
        val classPath = System.getProperty("java.class.path")
        val command =
            listOf("java") + MEMORY_OPTIONS + listOf("-cp", classPath, "buckthornbay.router.MainKt", "--platform", "--config")
        return ProcessBuilder(command + file.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile())
            .start()
    }

    private fun peakMegabytes(process: Process): Long {
        val line = Files.readAllLines(Path.of("/proc/${process.pid()}/status")).first { it.startsWith("VmHWM:") }
        return line.filter { it.isDigit() }.toLong() / 1_024
    }

    private companion object {
        /** The options of the deploy file that bear on memory. */
        val MEMORY_OPTIONS = listOf("-Xmx128m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        /** Memory of a host on the smallest machines of the users' sites, in megabytes. */
        const val MEMORY_MEGABYTES = 330L
        const val UPSTREAMS = 12
        const val ENDLESS = 60
        const val SOUND = 100
        const val PIECE_BYTES = 50_000
        const val BODY_PIECES = 80
    }
}
