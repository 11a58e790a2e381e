package buckthornbay.soak

import buckthornbay.testkit.platform.CallerAnswer
import buckthornbay.testkit.platform.StandInRoute
import buckthornbay.testkit.platform.StandInRouteKind
import buckthornbay.testkit.platform.callerRequest
import buckthornbay.testkit.platform.readCallerAnswer
import buckthornbay.testkit.platform.tokenCountHeader
import org.apache.commons.rng.UniformRandomProvider
import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

/** Routes requested by the callers of a soak. */
public enum class SoakRoute(internal val path: String, internal val method: String, private val kind: StandInRouteKind) {
    READ("/read/", "GET", StandInRouteKind.REPEATABLE),
    CHARGE("/charge/", "POST", StandInRouteKind.ONCE),
    STREAM("/stream/", "POST", StandInRouteKind.STREAM),
    DROPPED("/dropped/", "GET", StandInRouteKind.REPEATABLE),
    ;

    internal val service: String get() = if (kind == StandInRouteKind.STREAM) "models" else "plain"

    internal fun toStandInRoute() = StandInRoute(
        name,
        path,
        kind,
        service,
        attempts = if (kind == StandInRouteKind.ONCE) 1 else 2,
        resumable = true,
        timeoutMillis = SoakCaller.DEADLINE_MILLIS,
        objectiveMillis = LATENCY_OBJECTIVE_MILLIS,
    )

    private companion object {
        /** Latency objective of the routes, in milliseconds; leaves room to recover from faults of half a second. */
        const val LATENCY_OBJECTIVE_MILLIS = 600L
    }
}

/** A caller that reuses its connection for several requests and reconnects to a random host when the connection fails. */
internal class SoakCaller(
    private val number: Int,
    private val hosts: List<RouterHost>,
    private val checker: GuaranteeChecker,
    private val random: UniformRandomProvider,
) {
    private val sentCount = AtomicInteger()
    private var socket: Socket? = null

    /** Index of the host of the current or last connection. */
    var hostIndex: Int = 0
        private set

    /** Sends one request on [route] and records its outcome; returns the status, or null if the connection failed. */
    fun call(route: SoakRoute): Int? {
        val id = "caller-$number-${sentCount.incrementAndGet()}"
        if (route == SoakRoute.CHARGE) checker.recordNonIdempotentRequest(id)
        val reply = try {
            val open = connection()
            open.getOutputStream().write(request(route, id).encodeToByteArray())
            readCallerAnswer(BufferedInputStream(open.getInputStream()), isEof = { true })
                ?: throw IOException("connection closed before the response")
        } catch (_: IOException) {
            closeConnection()
            checker.recordOutcome(id, ReportedOutcome.UNKNOWN)
            return null
        }
        if (!reply.complete || random.nextInt(MEAN_REQUESTS_PER_CONNECTION) == 0) closeConnection()
        recordReply(route, id, reply)
        return reply.status
    }

    private fun recordReply(route: SoakRoute, id: String, reply: CallerAnswer) = when {
        reply.status == SERVICE_UNAVAILABLE -> checker.recordOutcome(id, ReportedOutcome.NOT_RUN)
        reply.status != OK -> checker.recordOutcome(id, ReportedOutcome.UNKNOWN)
        route == SoakRoute.STREAM -> {
            val events = EVENT_ID.findAll(reply.body).map { it.groupValues[1].toInt() }.toList()
            checker.recordStream(id, events, reply.complete, SoakUpstreams.EVENTS)
        }
        reply.complete -> checker.recordSuccess(id, reply.body)
        else -> checker.recordOutcome(id, ReportedOutcome.UNKNOWN)
    }

    private fun connection(): Socket {
        socket?.let { return it }
        hostIndex = random.nextInt(hosts.size)
        val host = hosts[hostIndex]
        val opened = Socket()
        opened.soTimeout = READ_TIMEOUT_MILLIS
        opened.connect(
            InetSocketAddress("127.0.0.1", host.callersAddress.substringAfterLast(':').toInt()),
            CONNECT_TIMEOUT_MILLIS,
        )
        return opened.also { socket = it }
    }

    private fun closeConnection() {
        socket?.close()
        socket = null
    }

    private fun request(route: SoakRoute, id: String): String = callerRequest(
        "${route.path}x",
        id,
        WORKSPACE_KEY,
        method = route.method,
        body = if (route.method == "POST") "x" else "",
        remainingMillis = DEADLINE_MILLIS,
        more = tokenCountHeader(promptTokens = 100, answerTokens = 50),
    )

    companion object {
        /** Workspace key of all callers. */
        const val WORKSPACE_KEY = "key"

        /** Deadline of each request and timeout of the routes, in milliseconds. */
        const val DEADLINE_MILLIS = 3_000L
        private const val OK = 200
        private const val SERVICE_UNAVAILABLE = 503
        private const val MEAN_REQUESTS_PER_CONNECTION = 20
        private const val CONNECT_TIMEOUT_MILLIS = 500

        /** Read timeout of a caller, in milliseconds; longer than the deadline of its requests. */
        private const val READ_TIMEOUT_MILLIS = 4_000
        private val EVENT_ID = Regex("id: (\\d+)\n")
    }
}
