package buckthornbay.soak

import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.ScriptedExchange
import buckthornbay.testkit.platform.ScriptedUpstream
import buckthornbay.testkit.platform.buildRegistration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Upstreams behind proxies that answer each request with its id, some badly, and the store's entries for them. */
internal class SoakUpstreams(
    private val store: PlatformStoreServer,
    private val promises: Promises,
    private val soundness: Soundness,
    private val clock: () -> Long,
) : AutoCloseable {
    private inner class Running(val id: String, service: String) {
        val upstream = ScriptedUpstream { answer(this, it) }
        val proxy = FaultProxy(upstream.address)
        val service = service

        @Volatile
        var leavingSinceMillis: Long? = null
    }

    private val running = ConcurrentHashMap<String, Running>()
    private val number = AtomicInteger()

    /** One answer in so many is bad; 0 for none. */
    @Volatile
    var badOneIn: Int = 0

    val proxies: List<FaultProxy> get() = running.values.map { it.proxy }

    fun add(service: String) {
        val id = "upstream-${number.incrementAndGet()}"
        val added = Running(id, service)
        running[id] = added
        register(added, "ready", sequence = 1)
    }

    /** Lets one upstream of [service] leave and starts another in its place. */
    fun replaceOne(service: String) {
        val leaving =
            running.values.filter { it.service == service && it.leavingSinceMillis == null }.minByOrNull { it.id } ?: return
        add(service)
        register(leaving, "draining", sequence = 2)
        leaving.leavingSinceMillis = clock()
    }

    override fun close() {
        running.values.forEach {
            it.proxy.close()
            it.upstream.close()
        }
    }

    private fun register(upstream: Running, state: String, sequence: Int) {
        store.put("servers", upstream.id, buildRegistration(upstream.service, upstream.proxy.address, state, sequence))
    }

    private fun answer(upstream: Running, exchange: ScriptedExchange) {
        val id = exchange.request.attemptId
        val lateMillis = lateMillis(upstream)
        if (lateMillis > 0) promises.reachedLeaving(id, lateMillis)
        if (exchange.request.expectedUpstream != upstream.id) {
            return exchange.answer("421 Misdirected Request", signed = false)
        }
        val bad = badOneIn > 0 && exchange.number % badOneIn == 0
        if (bad && exchange.number % 2 == 0) return exchange.reject()
        promises.ran(id)
        if (exchange.request.line.contains("/stream/")) return stream(exchange, cutAt = if (bad) CUT_EVENT else null)
        Thread.sleep(WORK_MILLIS)
        if (bad) exchange.reset() else exchange.answer(body = id)
    }

    private fun lateMillis(upstream: Running): Long {
        val leaving = upstream.leavingSinceMillis ?: return -1
        val sound = soundness.sinceAll() ?: return -1
        return clock() - maxOf(leaving, sound + Soak.CONTACT_MILLIS) - LEAVE_MILLIS
    }

    private fun stream(exchange: ScriptedExchange, cutAt: Int?) {
        val first = (exchange.request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        exchange.write("HTTP/1.1 200 OK\r\n${exchange.requiredHeaders()}Content-Type: text/event-stream\r\n")
        exchange.write("Transfer-Encoding: chunked\r\n\r\n")
        for (event in first..EVENTS) {
            val text = "id: $event\ndata: $event\n\n"
            if (event == cutAt) {
                exchange.write("${text.length.toString(HEXADECIMAL)}\r\nid: $event")
                return exchange.reset()
            }
            exchange.write("${text.length.toString(HEXADECIMAL)}\r\n$text\r\n")
            Thread.sleep(PAUSE_MILLIS)
        }
        exchange.write("0\r\n\r\n")
    }

    companion object {
        /** Events of a whole stream. */
        const val EVENTS = 12
        private const val CUT_EVENT = 5
        private const val PAUSE_MILLIS = 20L
        private const val WORK_MILLIS = 15L
        private const val HEXADECIMAL = 16

        /** After which time nothing may reach an upstream that leaves, in milliseconds; the platform's bound. */
        private const val LEAVE_MILLIS = 2_500L
    }
}
