package buckthornbay.operator

import buckthornbay.protocol.HostStatus
import buckthornbay.protocol.MemberStatus
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.runBlocking

internal class StatusCommand : CliktCommand(name = "status") {
    private val settings by SettingsOption()

    override fun help(context: Context): String = "Shows hosts, their configuration versions, pools, pool owners and queues."

    override fun run() = runBlocking {
        OperatorContext(this@StatusCommand, settings.file).use { context ->
            val members = context.firstReachableStatus().members
                .filter { it.status != MemberStatus.DEAD }
                .sortedBy { it.host.value }
            for (member in members) {
                val status = context.routers.status(member.url).getOrElse {
                    echo("${member.host}  ${member.status.name.lowercase()}  $it")
                    null
                } ?: continue
                show(status)
            }
        }
    }

    private fun show(status: HostStatus) {
        val serving = if (status.draining) "draining" else "serving"
        echo("${status.host}  $serving  version=${status.stateVersion}  requests=${status.requestsInProgress}")
        for (pool in status.pools.sortedBy { it.pool.toString() }) {
            val fallback = if (pool.fallback) "  on its fallback share" else ""
            echo(
                "  ${pool.pool}  owner=${pool.owner}  slots=${pool.slots}  running=${pool.inUse}  queued=${pool.queued}$fallback",
            )
        }
    }
}

internal class DrainCommand : CliktCommand(name = "drain") {
    private val settings by SettingsOption()
    private val host by argument(help = "Id of the host.")

    override fun help(context: Context): String = "Drains a host: it finishes its requests and accepts no new ones."

    override fun run() = runBlocking {
        OperatorContext(this@DrainCommand, settings.file).use { context ->
            val member = context.firstReachableStatus().members.find { it.host.value == host }
                ?: fail("unknown host '$host'; run 'buckthornbay status' to list the hosts", EXIT_FAILURE)
            context.routers.drain(member.url).onFailure { fail(it, EXIT_FAILURE) }
            echo("$host drains")
        }
    }
}

internal class ExplainCommand : CliktCommand(name = "explain") {
    private val settings by SettingsOption()
    private val requestId by argument(help = "Request id, from the Buckthornbay-Request-Id header.")

    override fun help(context: Context): String = "Shows the routing decisions for a request, with their times and reasons."

    override fun run() = runBlocking {
        OperatorContext(this@ExplainCommand, settings.file).use { context ->
            val member = context.firstReachableStatus().members.find { it.host.value == hostOf(requestId) }
                ?: fail("the request id '$requestId' refers to an unknown host", EXIT_FAILURE)
            val explanation = context.routers.explain(member.url, requestId).getOrElse { fail(it, EXIT_FAILURE) }
            echo("${explanation.requestId}  workspace=${explanation.workspace}  service=${explanation.service}")
            explanation.decisions.forEach { echo("  +${it.atMillis} ms  ${it.decision}") }
            echo("  end: ${explanation.end?.name?.lowercase() ?: "in progress"}")
        }
    }

    /** Returns the host part of a request id, which has the form `HOST-INCARNATION-NUMBER`. */
    private fun hostOf(id: String): String = id.substringBeforeLast('-').substringBeforeLast('-')
}
