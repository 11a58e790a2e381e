package buckthornbay.router

import buckthornbay.protocol.PoolStatus
import buckthornbay.protocol.RequestEnd
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** The metrics of the router, which `/metrics` exposes. */
internal class RouterMetrics {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val control = registry.counter("buckthornbay.control.sent.bytes")
    private val envelopes = registry.counter("buckthornbay.control.sent.messages")
    private val retries = registry.counter("buckthornbay.requests.retried")
    private val hedges = registry.counter("buckthornbay.requests.hedged")
    private val gauges = ConcurrentHashMap<String, AtomicInteger>()

    fun controlMessageSent(bytes: Int) {
        control.increment(bytes.toDouble())
        envelopes.increment()
    }

    fun retried() = retries.increment()

    fun hedged() = hedges.increment()

    fun ended(service: String, end: RequestEnd, millis: Long) {
        Timer.builder("buckthornbay.request.duration")
            .tag("service", service)
            .tag("end", end.name.lowercase())
            .publishPercentiles(MEDIAN, TAIL)
            .register(registry)
            .record(millis, TimeUnit.MILLISECONDS)
    }

    fun recordPools(pools: List<PoolStatus>) {
        for (pool in pools) {
            gauge("buckthornbay.pool.slots.count", pool.pool.toString(), pool.slots)
            gauge("buckthornbay.pool.running.requests", pool.pool.toString(), pool.inUse)
            gauge("buckthornbay.pool.queued.requests", pool.pool.toString(), pool.queued)
        }
    }

    private fun gauge(name: String, pool: String, value: Int) {
        gauges.getOrPut("$name|$pool") {
            AtomicInteger().also { holder -> registry.gauge(name, listOf(Tag.of("pool", pool)), holder) }
        }.set(value)
    }

    private companion object {
        const val MEDIAN = 0.5
        const val TAIL = 0.99
    }
}
