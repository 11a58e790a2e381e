package buckthornbay.soak

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import java.io.File

/** Runs the fault-injection soak from the command line. */
public fun main(args: Array<String>): Unit = SoakCommand().main(args)

private class SoakCommand : CliktCommand(name = "soak") {
    private val seed by option("--seed", help = "Seed of the random faults and requests.").long().default(1)
    private val minutes by option("--minutes", help = "Duration of fault injection, in minutes.").double().default(0.5)
    private val hosts by option("--hosts", help = "Number of router processes.").int().default(4)
    private val jar by option("--router", help = "Jar file of the router.").file(mustExist = true)
        .default(File("target/router/router-0.1.0-all.jar"))
    private val output by option("--output", help = "Directory for settings and logs.").file().default(File("target/soak-runs"))

    override fun help(context: Context): String =
        "Runs routers as separate processes, injects faults and checks the guarantees of the router."

    override fun run() {
        val settings = SoakSettings(seed, (minutes * SECONDS_PER_MINUTE).toInt(), hosts)
        val result = Soak(settings, FleetFiles(jar, File(output, "seed-$seed"))).run()
        result.faults.forEach { echo(it) }
        echo("seed $seed: ${result.faults.size} faults, ${result.requests} requests, ${result.answered} answered")
        result.violations.forEach { echo("violation: $it", err = true) }
        if (result.violations.isNotEmpty()) throw ProgramResult(EXIT_VIOLATION)
    }

    private companion object {
        const val SECONDS_PER_MINUTE = 60
        const val EXIT_VIOLATION = 1
    }
}
