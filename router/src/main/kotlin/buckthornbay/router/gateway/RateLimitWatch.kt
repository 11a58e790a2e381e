package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.load.RateLimitChange
import buckthornbay.core.load.RateLimitNews
import buckthornbay.core.load.StatedRateLimits
import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.wire.CallerInterface
import io.netty.handler.codec.http.HttpHeaders

/** Reads the request rate limits that upstreams state in their responses. */
internal class RateLimitWatch(
    private val callerInterface: CallerInterface,
    private val clock: Clock,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) {
    private val limits = StatedRateLimits()

    /** Called when this host has received a response with another limit than before, which peers should learn of at once. */
    var onChange: () -> Unit = {}

    /** The limits by incarnation of the upstream, for all hosts together, in requests per second. */
    val perUpstream: Map<String, Double> get() = limits.limits

    /**
     * Reads the [headers] of the response of [upstream] to request [id].
     *
     * @param genuine whether the response is certainly the upstream's own, so that a missing header means that there is no limit.
     */
    fun responseStarted(upstream: UpstreamEntry, id: String, headers: HttpHeaders, genuine: Boolean) {
        val texts = headers.getAll(callerInterface.headers.requestRateLimit)
        val perSecond = texts.mapNotNull(callerInterface::requestRateLimit).minOrNull()
        when {
            texts.isNotEmpty() && perSecond == null -> log.rateLimitUnreadable(upstream.id, id, texts)
            texts.isNotEmpty() || genuine -> {
                val change = limits.record(clock.nowMillis(), upstream.incarnation, perSecond, id) ?: return
                report(listOf(change))
                onChange()
            }
        }
    }

    fun news(): List<RateLimitNews> = limits.news(clock.nowMillis())

    fun merge(news: List<RateLimitNews>) = report(limits.merge(clock.nowMillis(), news))

    /** Forgets the upstreams that are not registered any more. */
    fun retain(registered: List<UpstreamEntry>) {
        limits.retain(registered.map { it.incarnation }.toSet())
        metrics.limitedUpstreams(limits.size)
    }

    private fun report(changes: List<RateLimitChange>) {
        for (change in changes) log.rateLimit(change)
        if (changes.isNotEmpty()) metrics.limitedUpstreams(limits.size)
    }
}
