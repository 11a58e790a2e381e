package buckthornbay.router.gateway

import buckthornbay.core.request.RequestState
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit

/** Counters and latency histograms of the gateway. */
internal class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val connections = registry.counter("buckthornbay.upstream.connections.opened")
    private val timers = HashMap<String, Timer>()

    fun connectionOpened() = connections.increment()

    /** The first part of the answer was passed on. */
    fun began(terms: RequestTerms, nowMillis: Long) =
        timer("buckthornbay.request.first_event", terms.route.name, "none").record(nowMillis - terms.arrivedAtMillis, TimeUnit.MILLISECONDS)

    /** The request ended in [state]. */
    fun ended(terms: RequestTerms, state: RequestState, nowMillis: Long) =
        timer("buckthornbay.request.duration", terms.route.name, state.name.lowercase())
            .record(nowMillis - terms.arrivedAtMillis, TimeUnit.MILLISECONDS)

    /** Returns all measures as text. */
    fun scrape(): String = registry.scrape()

    private fun timer(name: String, route: String, state: String): Timer = timers.getOrPut("$name|$route|$state") {
        Timer.builder(name).tag("route", route).tag("state", state).publishPercentileHistogram(false)
            .serviceLevelObjectives(*LATENCY_BOUNDS).register(registry)
    }

    private companion object {
        /** Bounds of the histograms' buckets: around the objectives of 300 to 1,200 ms. */
        val LATENCY_BOUNDS: Array<java.time.Duration> =
            longArrayOf(10, 50, 100, 200, 300, 400, 600, 800, 1_200, 2_000, 5_000).map(java.time.Duration::ofMillis).toTypedArray()
    }
}
