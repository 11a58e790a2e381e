package buckthornbay.soak

import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.ScriptedExchange
import buckthornbay.testkit.platform.ScriptedUpstream
import buckthornbay.testkit.platform.buildRegistration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Upstreams behind fault proxies that echo the id of each request or fail it, and their registrations in the store. */
internal class SoakUpstreams(
    private val store: PlatformStoreServer,
    private val checker: GuaranteeChecker,
    private val faultFreeTracker: FaultFreeTracker,
    private val clock: () -> Long,
) : AutoCloseable {
    private inner class RegisteredUpstream(val id: String, service: String) {
        val upstream = ScriptedUpstream { answer(this, it) }
        val proxy = FaultProxy(upstream.address)
        val service = service

        @Volatile
        var drainingSinceMillis: Long? = null
    }

    private val running = ConcurrentHashMap<String, RegisteredUpstream>()
    private val number = AtomicInteger()

    /** Each upstream fails one request out of this many; 0 disables failures. */
    @Volatile
    var requestsPerFailure: Int = 0

    val proxies: List<FaultProxy> get() = running.values.map { it.proxy }

    fun add(service: String) {
        val id = "upstream-${number.incrementAndGet()}"
        val added = RegisteredUpstream(id, service)
        running[id] = added
        register(added, "ready", sequence = 1)
    }

    /** Starts another upstream of [service], then drains the one with the lowest id. */
    fun replaceOne(service: String) {
        val draining =
            running.values.filter { it.service == service && it.drainingSinceMillis == null }.minByOrNull { it.id } ?: return
        add(service)
        register(draining, "draining", sequence = 2)
        draining.drainingSinceMillis = clock()
    }

    override fun close() {
        running.values.forEach {
            it.proxy.close()
            it.upstream.close()
        }
    }

    private fun register(upstream: RegisteredUpstream, state: String, sequence: Int) {
        store.put("servers", upstream.id, buildRegistration(upstream.service, upstream.proxy.address, state, sequence))
    }

    private fun answer(upstream: RegisteredUpstream, exchange: ScriptedExchange) {
        val id = exchange.request.attemptId
        val overdueMillis = millisPastDrainDeadline(upstream)
        if (overdueMillis > 0) checker.recordRequestAtDrainingUpstream(id, overdueMillis)
        if (exchange.request.expectedUpstream != upstream.id) {
            return exchange.answer("421 Misdirected Request", signed = false)
        }
        val fails = requestsPerFailure > 0 && exchange.number % requestsPerFailure == 0
        if (fails && exchange.number % 2 == 0) return exchange.reject()
        checker.recordExecution(id)
        if (exchange.request.line.contains("/stream/")) return stream(exchange, cutAtEvent = if (fails) CUT_EVENT else null)
        Thread.sleep(EXECUTION_MILLIS)
        if (fails) exchange.reset() else exchange.answer(body = id)
    }

    private fun millisPastDrainDeadline(upstream: RegisteredUpstream): Long {
        val drainingSince = upstream.drainingSinceMillis ?: return -1
        val faultFreeSince = faultFreeTracker.allFaultFreeSince() ?: return -1
        return clock() - maxOf(drainingSince, faultFreeSince + Soak.CATCH_UP_MILLIS) - DRAIN_PROPAGATION_MILLIS
    }

    private fun stream(exchange: ScriptedExchange, cutAtEvent: Int?) {
        val first = (exchange.request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        exchange.write("HTTP/1.1 200 OK\r\n${exchange.requiredHeaders()}Content-Type: text/event-stream\r\n")
        exchange.write("Transfer-Encoding: chunked\r\n\r\n")
        for (event in first..EVENTS) {
            val text = "id: $event\ndata: $event\n\n"
            if (event == cutAtEvent) {
                exchange.write("${text.length.toString(HEXADECIMAL)}\r\nid: $event")
                return exchange.reset()
            }
            exchange.write("${text.length.toString(HEXADECIMAL)}\r\n$text\r\n")
            Thread.sleep(EVENT_INTERVAL_MILLIS)
        }
        exchange.write("0\r\n\r\n")
    }

    companion object {
        /** Number of events in a complete stream. */
        const val EVENTS = 12
        private const val CUT_EVENT = 5
        private const val EVENT_INTERVAL_MILLIS = 20L
        private const val EXECUTION_MILLIS = 15L
        private const val HEXADECIMAL = 16

        /** Longest time for which new requests may reach a draining upstream, in milliseconds; defined by the platform. */
        private const val DRAIN_PROPAGATION_MILLIS = 2_500L
    }
}
