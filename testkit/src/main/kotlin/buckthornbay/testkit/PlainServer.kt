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

/** What a stand-in service does wrong on purpose. */
public data class PlainFaults(
    /** Multiplies its service time. */
    public val slowFactor: Double = 1.0,
    /** Runs requests and never answers them. */
    public val silent: Boolean = false,
    /** Refuses requests unread. */
    public val refuses: Boolean = false,
)

/** A stand-in for a plain service that counts how often each idempotency key ran. */
public class StandInService(private val serviceMillis: Long = 5) {
    /** The faults in force; may be replaced at any moment. */
    @Volatile
    public var faults: PlainFaults = PlainFaults()

    /** How often each idempotency key ran. */
    public val runsByKey: ConcurrentHashMap<String, AtomicInteger> = ConcurrentHashMap()

    /** Requests that ran. */
    public val runCount: AtomicLong = AtomicLong()

    internal suspend fun serve(call: ApplicationCall) {
        if (faults.refuses) {
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

/** Serves [service] under every path. */
public fun Application.plainRoutes(service: StandInService) {
    routing {
        route("{...}") {
            handle { service.serve(call) }
        }
    }
}
