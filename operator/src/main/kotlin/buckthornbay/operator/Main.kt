package buckthornbay.operator

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.versionOption

/** Runs the operator command line. */
public fun main(args: Array<String>) {
    if (System.getProperty(LOG_LEVEL) == null && System.getenv(LOG_LEVEL) == null) System.setProperty(LOG_LEVEL, "WARN")
    OperatorCommand()
        .subcommands(
            ValidateCommand(),
            DiffCommand(),
            ApplyCommand(),
            GetCommand(),
            StatusCommand(),
            DrainCommand(),
            ExplainCommand(),
            StandInsCommand(),
            DemoCommand(),
            LoadCommand(),
            CompletionCommand(),
        )
        .main(args)
}

/** Property that sets the log level in the logback configuration; defaults to WARN because commands print their own output. */
private const val LOG_LEVEL = "BUCKTHORNBAY_LOG_LEVEL"

private class OperatorCommand : CliktCommand(name = "buckthornbay") {
    init {
        versionOption("0.1.0")
    }

    override fun help(context: Context): String = "Configures a buckthornbay fleet and shows its status."

    override fun run() = Unit
}
