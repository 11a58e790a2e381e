package buckthornbay.router.gateway

import buckthornbay.core.request.RequestState
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Counters and latency histograms of the gateway. */
internal class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val connections = registry.counter("buckthornbay.upstream.connections.opened")
    private val timers = HashMap<String, Timer>()

    fun connectionOpened() = connections.increment()

    /** The first part of the answer was passed on. */
    fun began(terms: RequestTerms, nowMillis: Long) = timer(
        "buckthornbay.request.first_event",
        terms.route.name,
        "none",
    ).record(nowMillis - terms.arrivedAtMillis, TimeUnit.MILLISECONDS)

    /** The request ended in [state]. */
    fun ended(terms: RequestTerms, state: RequestState, nowMillis: Long) =
        timer("buckthornbay.request.duration", terms.route.name, state.name.lowercase())
            .record(nowMillis - terms.arrivedAtMillis, TimeUnit.MILLISECONDS)

    /** Returns all measures as text. */
    fun scrape(): String = registry.scrape()

    private fun timer(name: String, route: String, state: String): Timer = timers.getOrPut("$name|$route|$state") {
        Timer.builder(name).tag("route", route).tag("state", state)
            .publishPercentileHistogram()
            .minimumExpectedValue(SHORTEST)
            .maximumExpectedValue(LONGEST)
            .register(registry)
    }

    private companion object {
        /** Bounds of the histograms: well below the shortest objective, and the longest usual time limit. */
        val SHORTEST: Duration = Duration.ofMillis(20)
        val LONGEST: Duration = Duration.ofSeconds(15)
    }
}
