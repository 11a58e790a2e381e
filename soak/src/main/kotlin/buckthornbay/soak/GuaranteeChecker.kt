package buckthornbay.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** The outcome of a request as reported to its caller. */
public enum class ReportedOutcome {
    /** A success status with a complete body. */
    ANSWERED,

    /** A status that guarantees that the request was not executed. */
    NOT_RUN,

    /** Anything else: an error, a truncated response or a closed connection. */
    UNKNOWN,
}

/**
 * A check of the router's guarantees against the observations of callers and upstreams.
 *
 * This is a black-box check: its only input is which requests the upstreams executed and which outcomes the callers received.
 */
public class GuaranteeChecker {
    private val executions = ConcurrentHashMap<String, Int>()
    private val outcomes = ConcurrentHashMap<String, ReportedOutcome>()
    private val nonIdempotentIds = ConcurrentHashMap.newKeySet<String>()
    private val detected = ConcurrentLinkedQueue<String>()

    /** Number of requests that succeeded. */
    public val successCount: Int get() = outcomes.values.count { it == ReportedOutcome.ANSWERED }

    /** Number of requests whose outcome was recorded. */
    public val outcomeCount: Int get() = outcomes.size

    /** Records that an upstream started to execute the request [id]. */
    public fun recordExecution(id: String) {
        executions.merge(id, 1, Int::plus)
    }

    /** Records that a caller sent the non-idempotent request [id], which may be executed at most once. */
    public fun recordNonIdempotentRequest(id: String) {
        nonIdempotentIds += id
    }

    /** Records the outcome that the caller of [id] received. */
    public fun recordOutcome(id: String, outcome: ReportedOutcome) {
        outcomes[id] = outcome
    }

    /** Records a success for [id] with [body], which must be equal to [id] because upstreams echo the id of each request. */
    public fun recordSuccess(id: String, body: String) {
        if (body != id) detected += "$id received the response of another request: '$body'"
        recordOutcome(id, ReportedOutcome.ANSWERED)
    }

    /** Records the [events] of the stream [id]; a stream that ended normally is [complete] and must have reached [lastEvent]. */
    public fun recordStream(id: String, events: List<Int>, complete: Boolean, lastEvent: Int) {
        val expected = (1..events.size).toList()
        if (events != expected) detected += "$id: events are missing, duplicated or out of order: $events"
        if (complete && events.size != lastEvent) detected += "$id: stream complete after ${events.size} of $lastEvent events"
        recordOutcome(id, if (complete) ReportedOutcome.ANSWERED else ReportedOutcome.UNKNOWN)
    }

    /** Records that the request [id] reached a draining upstream [overdueMillis] after all hosts had to stop using it. */
    public fun recordRequestAtDrainingUpstream(id: String, overdueMillis: Long) {
        detected += "$id reached a draining upstream $overdueMillis ms after all hosts had to stop using it"
    }

    /** Records that the request [id] was served on a removed route [overdueMillis] after the removal had to take effect. */
    public fun recordRequestOnRemovedRoute(id: String, overdueMillis: Long) {
        detected += "$id was served on a removed route $overdueMillis ms after the removal had to take effect"
    }

    /** Returns all violations; valid only after every request has ended. */
    public fun violations(): List<String> {
        val repeated = nonIdempotentIds.filter { (executions[it] ?: 0) > 1 }
            .map { "$it is non-idempotent but was executed ${executions[it]} times" }
        val misreported = outcomes
            .filter { (id, outcome) -> outcome == ReportedOutcome.NOT_RUN && id in nonIdempotentIds && (executions[id] ?: 0) > 0 }
            .map { (id, _) -> "$id was executed although it was reported to its caller as not run" }
        return detected.toList() + repeated + misreported
    }
}
