package buckthornbay.testkit

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Faults injected into a [StandInService]. */
public data class PlainFaults(
    /** Slowdown of the service time; 1.0 is normal speed. */
    public val slowFactor: Double = 1.0,
    /** Runs requests but never responds to them. */
    public val silent: Boolean = false,
    /** Rejects requests with status 429 without reading them. */
    public val rejects: Boolean = false,
)

/** A stand-in for a plain HTTP service that counts executions per idempotency key. */
public class StandInService(private val serviceMillis: Long = 5) {
    /** The injected faults; may be replaced at any time. */
    @Volatile
    public var faults: PlainFaults = PlainFaults()

    /** Number of executions per idempotency key. */
    public val runsByKey: ConcurrentHashMap<String, AtomicInteger> = ConcurrentHashMap()

    /** Number of requests executed. */
    public val runCount: AtomicLong = AtomicLong()

    internal suspend fun serve(call: ApplicationCall) {
        if (faults.rejects) {
            call.respond(HttpStatusCode.TooManyRequests)
            return
        }
        val body = call.receiveText()
        runCount.incrementAndGet()
        call.request.header("Idempotency-Key")?.let { runsByKey.getOrPut(it) { AtomicInteger() }.incrementAndGet() }
        val millis = call.request.queryParameters["millis"]?.toLongOrNull() ?: serviceMillis
        delay((millis * faults.slowFactor).toLong())
        if (faults.silent) awaitCancellation()
        val answer = "${call.request.httpMethod.value} ${call.request.path()} $body"
        call.respondText(answer, ContentType.Text.Plain)
    }
}

/** Routes requests of every path to [service]. */
public fun Application.plainRoutes(service: StandInService) {
    routing {
        route("{...}") {
            handle { service.serve(call) }
        }
    }
}
