package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.BufferBudget
import buckthornbay.core.admission.HoldReason
import buckthornbay.core.request.FailureKind
import buckthornbay.core.request.RequestState
import buckthornbay.core.request.ResponseEnd
import buckthornbay.protocol.ServiceId
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.TimeGauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Counters and latency histograms of the gateway. */
internal class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val connections = registry.counter("buckthornbay.upstream.connections.opened")
    private val tokens = HashMap<String, Counter>()
    private val timers = HashMap<String, Timer>()
    private val refusals = HashMap<String, Counter>()

    private val failedAttempts = FailureKind.entries.associateWith { kind ->
        registry.counter("buckthornbay.upstream.attempts.failed", "kind", kind.name.lowercase())
    }

    private val unmarkedEnds = ResponseEnd.entries.associateWith { end ->
        registry.counter("buckthornbay.upstream.responses.unmarked", "end", end.name.lowercase())
    }

    private val invalidResponses = registry.counter("buckthornbay.upstream.responses.invalid")
    private val storeCalls = HashMap<String, Counter>()
    private val eventLoopDelay = registry.timer("buckthornbay.event.loop.delay")
    private val crashes = registry.counter("buckthornbay.upstream.crashes")
    private val quarantinedParts = MultiGauge.builder("buckthornbay.quarantined.part.age").baseUnit("seconds").register(registry)

    private val limitedUpstreams = AtomicInteger().also { registry.gauge("buckthornbay.limited.upstreams", it) }

    private val startingUpstreams = AtomicInteger().also { registry.gauge("buckthornbay.starting.upstreams", it) }
    private val coldUpstreams = AtomicInteger().also { registry.gauge("buckthornbay.cold.upstreams", it) }

    /** Shows the age of what this host knows of a collection of the store, which [ageMillis] returns in milliseconds. */
    fun storeKnowledge(collection: String, ageMillis: () -> Long) {
        TimeGauge.builder("buckthornbay.store.knowledge.age", { ageMillis() }, TimeUnit.MILLISECONDS)
            .tag("collection", collection).strongReference(true).register(registry)
    }

    /** Records a call of the store for objects of [kind]: a watch, or a check that the store is to answer at once. */
    fun storeCalled(kind: String, isCheck: Boolean) {
        val call = if (isCheck) "check" else "watch"
        storeCalls.getOrPut("$kind|$call") {
            registry.counter("buckthornbay.store.calls", "kind", kind, "call", call)
        }.increment()
    }

    /** Shows the bytes that [budget] counts, and its evictions. */
    fun buffers(budget: BufferBudget) {
        Gauge.builder("buckthornbay.buffered", budget) {
            it.usedBytes.toDouble()
        }.baseUnit("bytes").strongReference(true).register(registry)
        FunctionCounter.builder("buckthornbay.buffer.evictions", budget) { it.evictions.toDouble() }.register(registry)
    }

    /** Shows the number of open connections. */
    fun connections(open: OpenConnections) {
        Gauge.builder("buckthornbay.connections.open", open) { it.count.toDouble() }.strongReference(true).register(registry)
    }

    fun connectionOpened() = connections.increment()

    /** Records what the host made of a response that only the end of its connection ended. */
    fun responseEnded(end: ResponseEnd) = unmarkedEnds.getValue(end).increment()

    /** Records that what an upstream sent is no valid response. */
    fun responseInvalid() = invalidResponses.increment()

    /** Records that an upstream crashed while it processed requests of this host. */
    fun upstreamCrashed() = crashes.increment()

    /** Records the quarantined prompt parts, each with the time of the first crash that it is blamed for, in milliseconds. */
    fun quarantinedParts(sinceMillisByPart: Map<String, Long>, clock: Clock) {
        val rows = sinceMillisByPart.map { (part, sinceMillis) ->
            MultiGauge.Row.of(Tags.of("part", part)) { (clock.nowMillis() - sinceMillis) / MILLIS_PER_SECOND }
        }
        quarantinedParts.register(rows, true)
    }

    /** Records the number of upstreams that state a request rate limit. */
    fun limitedUpstreams(count: Int) = limitedUpstreams.set(count)

    /** Records the number of upstreams that have just started or recovered, whose pace is being found. */
    fun startingUpstreams(count: Int) = startingUpstreams.set(count)

    /** Records the number of upstreams whose rate is limited because they are cold. */
    fun coldUpstreams(count: Int) = coldUpstreams.set(count)

    /** Records a failed attempt at an upstream. */
    fun attemptFailed(kind: FailureKind) = failedAttempts.getValue(kind).increment()

    /**
     * Records the time from the arrival of a streamed request to the first event of its response, or to the end of a response
     * without events.
     */
    fun recordFirstEvent(terms: RequestTerms, nowMillis: Long) = timer(
        "buckthornbay.request.first_event",
        terms.route.name,
        "none",
    ).record(nowMillis - terms.arrivedAtMillis, TimeUnit.MILLISECONDS)

    /** Records the duration of a request that ended in [state]. */
    fun ended(terms: RequestTerms, state: RequestState, nowMillis: Long) =
        timer("buckthornbay.request.duration", terms.route.name, state.name.lowercase())
            .record(nowMillis - terms.arrivedAtMillis, TimeUnit.MILLISECONDS)

    /** Records the tokens that callers ask engines for. */
    fun recordAskedTokens(terms: RequestTerms) = countTokens("asked", terms)

    /** Records the tokens of a request that is sent to an engine. */
    fun recordSentTokens(terms: RequestTerms) = countTokens("sent", terms)

    /** Records the tokens of a request whose response begins. */
    fun recordBegunTokens(terms: RequestTerms) = countTokens("begun", terms)

    /** Records that the response of an engine of [service] has begun [waitedMillis] after the request was sent. */
    fun engineBegan(service: ServiceId, waitedMillis: Long) =
        serviceTimer("buckthornbay.engine.first_event", service).record(waitedMillis, TimeUnit.MILLISECONDS)

    /** Records that a task of the event loop ran [lateMillis] after its time. */
    fun eventLoopDelay(lateMillis: Long) = eventLoopDelay.record(lateMillis, TimeUnit.MILLISECONDS)

    /** Records that a request for [service] is refused that was queued because of [heldBy]; null if it was not queued. */
    fun refused(service: ServiceId, heldBy: HoldReason?) {
        val cause = heldBy?.name?.lowercase() ?: "not_queued"
        refusals.getOrPut("$service|$cause") {
            registry.counter("buckthornbay.requests.refused", "service", service.value, "held_by", cause)
        }.increment()
    }

    /** Records the tokens of a request that is refused. */
    fun recordRefusedTokens(terms: RequestTerms) = countTokens("refused", terms)

    private fun countTokens(kind: String, terms: RequestTerms) {
        val workspace = terms.workspace ?: return
        val demand = terms.demand ?: return
        tokens.getOrPut("$workspace|$kind") {
            registry.counter("buckthornbay.workspace.tokens", "workspace", workspace.value, "kind", kind)
        }.increment(demand.workTokens)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private fun serviceTimer(name: String, service: ServiceId): Timer = timers.getOrPut("$name|$service") {
        Timer.builder(name).tag("service", service.value)
            .publishPercentileHistogram()
            .minimumExpectedValue(MIN_EXPECTED)
            .maximumExpectedValue(MAX_EXPECTED)
            .register(registry)
    }

    private fun timer(name: String, route: String, state: String): Timer = timers.getOrPut("$name|$route|$state") {
        Timer.builder(name).tag("route", route).tag("state", state)
            .publishPercentileHistogram()
            .minimumExpectedValue(MIN_EXPECTED)
            .maximumExpectedValue(MAX_EXPECTED)
            .register(registry)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Range of the histograms: from well below the shortest latency objective to the longest usual timeout. */
        val MIN_EXPECTED: Duration = Duration.ofMillis(20)
        val MAX_EXPECTED: Duration = Duration.ofSeconds(15)
    }
}
