package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.CapacityView
import buckthornbay.core.admission.EngineWork
import buckthornbay.core.admission.HoldReason
import buckthornbay.core.load.Choice
import buckthornbay.core.load.RateLimitChange
import buckthornbay.core.request.ConnectionEnd
import buckthornbay.core.request.FailureKind
import buckthornbay.core.request.RequestState
import buckthornbay.core.request.ResponseEndDecision
import buckthornbay.core.resumption.ServiceVersion
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.Locale

private val logger = KotlinLogging.logger("buckthornbay.decisions")

/**
 * The log of decisions about requests and of changes to the host's view of the fleet, one line each.
 *
 * Lines about requests are rate-limited per second to bound the volume under load; a separate line counts those omitted.
 */
internal class DecisionLog(private val clock: Clock, private val maxLinesPerSecond: Int = MAX_LINES_PER_SECOND) {
    private var second = 0L
    private var lines = 0
    private var omittedLines = 0

    /** Returns the log fields with the current version of the configuration and revision of the registrations. */
    var versionFields: () -> String = { "" }

    fun sent(terms: RequestTerms, upstream: UpstreamId, choice: Choice, waitedMillis: Long, attempt: Int) = logRequestLine {
        val load = choice.upstream.load.view(clock.nowMillis())
        val ownLimit = load.requestsPerSecond?.let(::twoDecimals)
        "event=sent id=${terms.id} route=${terms.route.name} workspace=${terms.workspace} rank=${terms.rank} " +
            "upstream=$upstream attempt=$attempt " +
            "waited_ms=$waitedMillis cost=${choice.cost.toLong()} expected_ms=${choice.expectedMillis.toLong()} " +
            "slot_wait_ms=${load.slotWaitMillis.toLong()} at_home=${choice.onPreferredEngine} " +
            "copy_from=${choice.copyFrom?.id} own_limit_per_s=$ownLimit ${versionFields()}"
    }

    fun attemptFailed(terms: RequestTerms, upstream: UpstreamId, attempt: Int, kind: FailureKind, reason: String) =
        logRequestLine {
            "event=attempt_failed id=${terms.id} route=${terms.route.name} workspace=${terms.workspace} upstream=$upstream " +
                "attempt=$attempt kind=$kind parts=${terms.demand?.sharedParts?.joinToString(",") { it.id }} reason=\"$reason\""
        }

    fun ended(terms: RequestTerms, times: RequestTimes, reason: String) = logRequestLine {
        "event=ended id=${terms.id} route=${terms.route.name} workspace=${terms.workspace} state=${times.state} " +
            "rank=${terms.rank} elapsed_ms=${times.elapsedMillis} first_event_ms=${times.stream.firstEventMillis} " +
            "upstream_wait_ms=${times.stream.upstreamWaitMillis} " +
            "longest_pause_ms=${times.stream.longestPauseMillis} reason=\"$reason\""
    }

    /** Logs where the stream that the caller takes up again has begun; null if nobody knows it. */
    fun streamTakenUp(terms: RequestTerms, origin: ServiceVersion?) = logRequestLine {
        "event=stream_taken_up id=${terms.id} route=${terms.route.name} workspace=${terms.workspace} " +
            "origin_service=${origin?.service} origin_version=${origin?.softwareVersion}"
    }

    fun refused(terms: RequestTerms, reason: String, inputs: RefusalInputs) = logRequestLine {
        "event=refused id=${terms.id} route=${terms.route.name} workspace=${terms.workspace} rank=${terms.rank} " +
            "waiting=${inputs.waitingCount} asked_tokens_per_s=${inputs.demandTokensPerSecond.toLong()} " +
            "begun_tokens_per_s=${inputs.begunTokensPerSecond.toLong()} " +
            "share_tokens_per_s=${inputs.shareTokensPerSecond?.toLong()} waiting_elsewhere=${inputs.waitingElsewhere} " +
            inputs.capacity.run {
                "upstreams=$upstreams reporting=$reportingUpstreams free_slots=$freeSlots " +
                    "allowed_per_s=${allowedPerSecond.toLong()} pending_tokens=${pendingTokens.toLong()} " +
                    "pending_limit=${pendingLimitTokens.toLong()} fleet_pending_tokens=${fleetWork.pendingTokens.toLong()} " +
                    "fleet_begun_tokens_per_s=${fleetWork.begunTokensPerSecond.toLong()} "
            } + "held_by=${inputs.heldBy} retry_after_s=${inputs.retryAfterSeconds} " +
            "reason=\"$reason\" ${versionFields()}"
    }

    fun rejected(id: String?, status: Int, reason: String) = logRequestLine {
        "event=turned_away id=$id status=$status reason=\"$reason\" ${versionFields()}"
    }

    fun lateAnswer(id: String, upstream: UpstreamId, answeredId: String) = logRequestLine {
        "event=late_answer_skipped id=$id upstream=$upstream answered_id=$answeredId"
    }

    fun responseEnd(id: String, upstream: UpstreamId, end: ConnectionEnd, decision: ResponseEndDecision) = logRequestLine {
        "event=response_end id=$id upstream=$upstream end=${decision.end} reachability=${end.reachability} " +
            "checked_after_ms=${end.checkedAtMillis - end.endedAtMillis} leaving=${end.isLeaving} " +
            "restarted=${end.hasRestarted} broken_together=${end.breaksTogether} reason=\"${decision.reason}\""
    }

    /** Logs what this host has at the engines of [service], and how late the event loop was at most since the last such line. */
    fun engineWork(service: ServiceId, work: EngineWork, waitingCount: Int, loopDelayMillis: Long) = logger.info {
        "event=engine_work service=$service pending_tokens=${work.pendingTokens.toLong()} " +
            "begun_tokens_per_s=${work.begunTokensPerSecond.toLong()} wait_ms=${work.waitMillis?.toLong()} " +
            "waiting=$waitingCount loop_delay_ms=$loopDelayMillis"
    }

    fun rateLimit(change: RateLimitChange) = logRequestLine {
        "event=rate_limit_stated upstream=${change.upstream} limit_per_s=${change.perSecond}"
    }

    fun rateLimitUnreadable(upstream: UpstreamId, id: String, values: List<String>) = logRequestLine {
        "event=rate_limit_unreadable upstream=$upstream id=$id values=\"${values.joinToString()}\""
    }

    fun pause(upstream: UpstreamId, id: String, pauseMillis: Long) = logRequestLine {
        "event=upstream_pause upstream=$upstream id=$id pause_ms=$pauseMillis"
    }

    fun pauseUnreadable(upstream: UpstreamId, id: String, values: List<String>) = logRequestLine {
        "event=upstream_pause_unreadable upstream=$upstream id=$id values=\"${values.joinToString()}\""
    }

    /** Logs a change of this host's state or of its view of the fleet. Such lines are rare and not rate-limited. */
    fun stateChange(message: String) = logger.info { message }

    /** Logs a problem that needs an operator's attention. Not rate-limited. */
    fun warning(message: String) = logger.warn { message }

    private fun logRequestLine(text: () -> String) {
        val nowSecond = clock.nowMillis() / MILLIS_PER_SECOND
        if (nowSecond != second) {
            if (omittedLines > 0) logger.info { "event=lines_left_out count=$omittedLines" }
            second = nowSecond
            lines = 0
            omittedLines = 0
        }
        if (lines >= maxLinesPerSecond) {
            omittedLines++
            return
        }
        lines++
        logger.info(text)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Maximum number of request lines per second: four for each of 100 requests per second, the load of a small host. */
        const val MAX_LINES_PER_SECOND = 400
    }
}

/**
 * The inputs of a decision to refuse a request, for the log.
 *
 * @property waitingCount requests queued at this host.
 * @property demandTokensPerSecond demand of the workspace at all hosts, in tokens per second.
 * @property begunTokensPerSecond work of the workspace that engines have started recently for all hosts, in tokens per second.
 * @property waitingElsewhere workspaces that are queued on other hosts.
 * @property capacity what this host assumes about the upstreams of the service.
 * @property shareTokensPerSecond fair share of a workspace, in tokens per second; null while the demand of all can be met.
 * @property heldBy what kept the request queued before; null if it was not queued.
 * @property retryAfterSeconds the Retry-After value sent to the caller.
 */
internal class RefusalInputs(
    val waitingCount: Int,
    val demandTokensPerSecond: Double,
    val begunTokensPerSecond: Double,
    val shareTokensPerSecond: Double?,
    val waitingElsewhere: Int,
    val capacity: CapacityView,
    val heldBy: HoldReason?,
    val retryAfterSeconds: String,
)

/** The final state of a request and its durations. */
internal class RequestTimes(val state: RequestState, val elapsedMillis: Long, val stream: StreamTimes)

/** Formats [value] with two decimals, independent of the default locale. */
internal fun twoDecimals(value: Double): String = String.format(Locale.ROOT, "%.2f", value)
