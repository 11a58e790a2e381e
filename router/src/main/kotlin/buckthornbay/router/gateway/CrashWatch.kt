package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.quarantine.PromptQuarantine
import buckthornbay.core.quarantine.QuarantineChange
import buckthornbay.core.quarantine.QuarantineNews
import buckthornbay.core.quarantine.QuarantineVerdict
import buckthornbay.core.quarantine.Suspect
import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.request.Reachability

/**
 * Recognizes crashes of upstreams and keeps the quarantine of the prompt parts that cause them.
 *
 * A lost connection alone is no sign of a crash: upstreams reset single connections, and idle connections time out. An upstream
 * has crashed if it refuses new connections afterwards.
 */
internal class CrashWatch(
    private val quarantine: PromptQuarantine,
    private val probe: UpstreamProbe,
    private val clock: Clock,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val isTrialHost: (part: String) -> Boolean,
) {
    private class LostRequest(val demand: TokenDemand, val sentAtMillis: Long) {
        fun suspects(): Sequence<Suspect> =
            demand.sharedParts.asSequence().mapIndexed { position, part -> Suspect(part.id, position, sentAtMillis) }
    }

    /** Requests whose connection an upstream closed while a check of the upstream is pending. */
    private val lostRequests = HashMap<UpstreamEntry, MutableList<LostRequest>>()

    /** Called when parts are quarantined. */
    var onQuarantined: () -> Unit = {}

    /** Called with each change that this host has decided or learned of, except for parts from the store. */
    var onChange: (QuarantineChange) -> Unit = {}

    /** Called after this host recognized a crash, which peers should learn of at once. */
    var onCrash: () -> Unit = {}

    /** Decides whether a request with [demand] may be sent; one host of the fleet tries quarantined parts again. */
    fun verdict(demand: TokenDemand): QuarantineVerdict = quarantine.verdict(clock.nowMillis(), demand, isTrialHost)

    /** Returns the first part of [demand] that is quarantined, or null if there is none. */
    fun quarantinedPart(demand: TokenDemand): String? = quarantine.quarantinedPart(demand)

    /** Returns whether a failed request with [demand] must not be repeated, because it may crash the next upstream as well. */
    fun isSuspected(demand: TokenDemand): Boolean = quarantine.isSuspected(demand)

    /** Records that [upstream] closed the connection of a request, sent at [sentAtMillis], before it answered. */
    fun connectionLost(upstream: UpstreamEntry, demand: TokenDemand, sentAtMillis: Long) {
        if (demand.sharedParts.isEmpty()) return
        val lost = LostRequest(demand, sentAtMillis)
        val pending = lostRequests[upstream]
        if (pending != null) {
            pending += lost
            return
        }
        lostRequests[upstream] = mutableListOf(lost)
        probe.check(upstream) { result ->
            val checked = lostRequests.remove(upstream).orEmpty()
            if (result == Reachability.REFUSING) recordCrash(upstream, checked)
        }
    }

    /** Records that request [id] with [demand] is being answered. */
    fun answered(id: String, demand: TokenDemand) = apply(quarantine.recordAnswered(clock.nowMillis(), id, demand))

    fun news(): QuarantineNews = quarantine.news(clock.nowMillis())

    fun merge(news: QuarantineNews) = apply(quarantine.merge(clock.nowMillis(), news))

    /** Quarantines [parts], which other hosts have stored as quarantined. */
    fun restore(parts: List<String>) = report(quarantine.restore(clock.nowMillis(), parts))

    fun expire() = quarantine.expire(clock.nowMillis())

    private fun recordCrash(upstream: UpstreamEntry, lost: List<LostRequest>) {
        val suspects = lost.asSequence().flatMap { it.suspects() }
        val parts = suspects.map { it.part }.distinct().take(MAX_LOGGED_PARTS).joinToString(",")
        log.stateChange("event=upstream_crashed upstream=${upstream.id} unanswered=${lost.size} unanswered_parts=$parts")
        metrics.upstreamCrashed()
        apply(quarantine.recordCrash(clock.nowMillis(), upstream.incarnation, suspects.asIterable()))
        onCrash()
    }

    private fun apply(changes: List<QuarantineChange>) {
        report(changes)
        changes.forEach(onChange)
    }

    private fun report(changes: List<QuarantineChange>) {
        if (changes.isEmpty()) return
        for (change in changes) {
            when (change) {
                is QuarantineChange.Quarantined ->
                    log.warning("event=part_quarantined part=${change.part} upstreams=${change.upstreams.joinToString(",")}")
                is QuarantineChange.Released ->
                    log.stateChange("event=part_released part=${change.part} reason=\"${change.reason}\"")
            }
        }
        metrics.quarantinedParts(quarantine.sinceMillisByPart, clock)
        if (changes.any { it is QuarantineChange.Quarantined }) onQuarantined()
    }

    private companion object {
        /** Maximum number of parts in the log line of a crash; requests may have any number. */
        const val MAX_LOGGED_PARTS = 64
    }
}
