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

/** The routes that callers of a soak use. */
public enum class SoakRoute(internal val path: String, internal val method: String, private val kind: StandInRouteKind) {
    READ("/read/", "GET", StandInRouteKind.REPEATABLE),
    CHARGE("/charge/", "POST", StandInRouteKind.ONCE),
    STREAM("/stream/", "POST", StandInRouteKind.STREAM),
    DROPPED("/dropped/", "GET", StandInRouteKind.REPEATABLE),
    ;

    internal val service: String get() = if (kind == StandInRouteKind.STREAM) "models" else "plain"

    internal fun inManifest() = StandInRoute(
        name,
        path,
        kind,
        service,
        attempts = if (kind == StandInRouteKind.ONCE) 1 else 2,
        resumable = true,
        timeoutMillis = SoakCaller.TIME_LIMIT_MILLIS,
        targetMillis = TARGET_MILLIS,
    )

    private companion object {
        /** Aimed time to an answer, in milliseconds; long enough that faults of half a second need not cost an answer. */
        const val TARGET_MILLIS = 600L
    }
}

/** One caller: it keeps its connection for several requests and goes on with another host when that fails. */
internal class SoakCaller(
    private val number: Int,
    private val hosts: List<RouterHost>,
    private val promises: Promises,
    private val random: UniformRandomProvider,
) {
    private val sent = AtomicInteger()
    private var socket: Socket? = null

    /** The host that the caller is or was last connected to. */
    var hostNumber: Int = 0
        private set

    /** Sends one request on [route] and reports what came of it; returns the status, or null where the connection failed. */
    fun call(route: SoakRoute): Int? {
        val id = "caller-$number-${sent.incrementAndGet()}"
        if (route == SoakRoute.CHARGE) promises.sentOnce(id)
        val reply = try {
            val open = connection()
            open.getOutputStream().write(request(route, id).encodeToByteArray())
            readCallerAnswer(BufferedInputStream(open.getInputStream()), isEof = { true }) ?: throw IOException("no answer")
        } catch (_: IOException) {
            drop()
            promises.told(id, Told.UNKNOWN)
            return null
        }
        if (!reply.complete || random.nextInt(REQUESTS_PER_CONNECTION) == 0) drop()
        report(route, id, reply)
        return reply.status
    }

    private fun report(route: SoakRoute, id: String, reply: CallerAnswer) = when {
        reply.status == SERVICE_UNAVAILABLE -> promises.told(id, Told.NOT_RUN)
        reply.status != OK -> promises.told(id, Told.UNKNOWN)
        route == SoakRoute.STREAM -> {
            val events = EVENT_ID.findAll(reply.body).map { it.groupValues[1].toInt() }.toList()
            promises.streamed(id, events, reply.complete, SoakUpstreams.EVENTS)
        }
        reply.complete -> promises.answered(id, reply.body)
        else -> promises.told(id, Told.UNKNOWN)
    }

    private fun connection(): Socket {
        socket?.let { return it }
        hostNumber = random.nextInt(hosts.size)
        val host = hosts[hostNumber]
        val opened = Socket()
        opened.soTimeout = PATIENCE_MILLIS
        opened.connect(InetSocketAddress("127.0.0.1", host.callersAddress.substringAfterLast(':').toInt()), CONNECT_MILLIS)
        return opened.also { socket = it }
    }

    private fun drop() {
        socket?.close()
        socket = null
    }

    private fun request(route: SoakRoute, id: String): String = callerRequest(
        "${route.path}x",
        id,
        KEY,
        method = route.method,
        body = if (route.method == "POST") "x" else "",
        remainingMillis = TIME_LIMIT_MILLIS,
        more = tokenCountHeader(promptTokens = 100, answerTokens = 50),
    )

    companion object {
        /** The key that all callers use. */
        const val KEY = "key"

        /** The time limit that callers name, in milliseconds; the routes' own. */
        const val TIME_LIMIT_MILLIS = 3_000L
        private const val OK = 200
        private const val SERVICE_UNAVAILABLE = 503
        private const val REQUESTS_PER_CONNECTION = 20
        private const val CONNECT_MILLIS = 500

        /** How long a caller waits for anything, in milliseconds; longer than the time limit it names. */
        private const val PATIENCE_MILLIS = 4_000
        private val EVENT_ID = Regex("id: (\\d+)\n")
    }
}
