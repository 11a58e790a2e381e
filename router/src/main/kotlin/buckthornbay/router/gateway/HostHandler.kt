package buckthornbay.router.gateway

import buckthornbay.core.admission.BufferBudget
import buckthornbay.core.wire.AddressQuery
import buckthornbay.core.wire.CallerInterface
import buckthornbay.protocol.Member
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder

/** A response that the host itself generates. */
internal data class HostAnswer(
    val status: HttpResponseStatus,
    val body: String,
    val contentType: String = "application/json",
    val headers: Map<String, String> = emptyMap(),
)

/** The handler of requests to the host itself, such as readiness and metrics, which are answered immediately. */
internal class HostHandler(
    private val callerInterface: CallerInterface,
    override val buffers: BufferBudget,
    private val answer: (ReceivedRequest) -> HostAnswer,
) : RequestHandler {
    override val limits = ReadLimits(maxBodyBytes = 8_388_608, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000)
    override val closing = false
    override val connections = LinkedHashSet<CallerConnection>()

    override fun errorBody(message: String): String = callerInterface.errorBody(message)

    override fun handle(request: ReceivedRequest, caller: CallerConnection): CallerWork {
        // Requests to the host are answered at once, so that nothing of them is held when the next one is read.
        request.memory?.release()
        val answer = answer(request)
        request.release()
        val headers: HttpHeaders = uncheckedHeaders().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
        answer.headers.forEach { (name, value) -> headers.set(name, value) }
        caller.answer(answer.status, headers, Unpooled.copiedBuffer(answer.body, Charsets.UTF_8))
        return CallerWork.Done
    }
}

/**
 * Returns the hosts that a caller should use: those of its zone if at least two of them are alive, else those of its region,
 * else the hosts of its zone and region, filled up with other hosts to two.
 */
internal fun hostsFor(query: AddressQuery, alive: List<Member>): List<Member> {
    val inZone = alive.filter { it.zone.value == query.zoneName }
    if (inZone.size >= MIN_HOSTS) return inZone
    val inRegion = alive.filter { it.region.value == query.regionName }
    if (inRegion.size >= MIN_HOSTS) return inRegion
    val near = (inZone + inRegion).distinct()
    return near + (alive - near.toSet()).sortedBy { it.host.value }.take(MIN_HOSTS - near.size)
}

/** Returns the query parameters of a request's [target] by name. */
internal fun queryParameters(target: String): (String) -> String? {
    val parameters = QueryStringDecoder(target).parameters()
    return { name -> parameters[name]?.firstOrNull() }
}

/** Minimum number of hosts that a caller should know, so that it can fail over to another one. */
private const val MIN_HOSTS = 2
