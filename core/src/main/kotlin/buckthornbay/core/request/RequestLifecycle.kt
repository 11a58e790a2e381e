package buckthornbay.core.request

import buckthornbay.core.chart.StateChart
import buckthornbay.core.chart.loadChart
import buckthornbay.protocol.RequestEnd

/** The state of a request; `charts/request.toml` defines the transitions. */
public enum class RequestState { RECEIVED, QUEUED, SENDING, STREAMING, ANSWERED, FAILED, NOT_RUN, UNKNOWN }

/** An event that changes the state of a request. */
public enum class RequestEvent {
    QUEUE,
    REFUSE,
    DISPATCH,
    RETRY,
    FAIL_UNWRITTEN,
    FAIL_WRITTEN,
    LOSE_TRACK,
    FIRST_BYTE,
    RESUME,
    COMPLETE,
}

/** The kind of failure of an attempt; it determines the reported outcome and whether a retry is safe. */
public enum class FailureKind {
    /** No connection was established, so nothing was written. */
    NOT_CONNECTED,

    /** The upstream explicitly rejected the request without processing it. */
    REFUSED_UNREAD,

    /** The connection failed or timed out after the request was, or may have been, written. */
    BROKEN_BEFORE_ANSWER,

    /** The connection failed after the response had started. */
    BROKEN_IN_ANSWER,

    /** The caller closed its connection. */
    CALLER_LEFT,
}

/** The action to take after a failed attempt. */
public sealed interface FailureAction {
    /** Queues the request again; no part of a response has reached the caller. */
    public data object Retry : FailureAction

    /** Requests the rest of the response from an upstream. */
    public data object Resume : FailureAction

    /** Ends the request with the outcome [end]. */
    public data class End(public val end: RequestEnd) : FailureAction
}

/**
 * The state machine of one request, which also selects the action after a failed attempt.
 *
 * Each request reaches exactly one [RequestEnd]. It reaches [RequestEnd.NOT_RUN] only if nothing was written to an upstream, and
 * an unrepeatable request is never sent again once any part of it may have been written.
 *
 * @param unrepeatable whether the request may run at most once.
 * @param resumable whether an interrupted response can be continued.
 * @param budget the retry budget.
 */
public class RequestLifecycle(
    private val unrepeatable: Boolean,
    private val resumable: Boolean,
    private val budget: RetryAllowance,
    private val limits: AttemptLimits = AttemptLimits(),
) {
    /** The current state. */
    public var state: RequestState = CHART.initial
        private set

    private var sends = 0
    private var runs = 0
    private var resumes = 0
    private var unwrittenResumes = 0
    private var mayHaveRun = false

    /** The outcome of the request, or null while it is in progress. */
    public val end: RequestEnd? get() =
        when (state) {
            RequestState.ANSWERED -> RequestEnd.ANSWERED
            RequestState.FAILED -> RequestEnd.FAILED
            RequestState.NOT_RUN -> RequestEnd.NOT_RUN
            RequestState.UNKNOWN -> RequestEnd.UNKNOWN
            else -> null
        }

    /** Records that the request is waiting for a slot. */
    public fun queued() {
        if (state == RequestState.RECEIVED) budget.recordRequest()
        if (state != RequestState.QUEUED) transition(RequestEvent.QUEUE)
    }

    /**
     * Ends a waiting request that was refused or whose caller closed its connection.
     *
     * The outcome is [RequestEnd.NOT_RUN] only if no earlier attempt was written to an upstream.
     */
    public fun refused(): FailureAction = endUnsent()

    /** Records that the request is being sent to an upstream. */
    public fun dispatched() {
        sends++
        transition(RequestEvent.DISPATCH)
    }

    /** Records the arrival of the first byte of the response. */
    public fun responseStarted(): Unit = transition(RequestEvent.FIRST_BYTE)

    /** Records that the complete response was forwarded to the caller. */
    public fun completed(): Unit = transition(RequestEvent.COMPLETE)

    /** Records a failure of [kind] and returns the action to take. */
    public fun failed(kind: FailureKind): FailureAction {
        if (state == RequestState.QUEUED || state == RequestState.RECEIVED) return endUnsent()
        val written = kind != FailureKind.NOT_CONNECTED && kind != FailureKind.REFUSED_UNREAD
        mayHaveRun = mayHaveRun || written
        if (written) runs++
        return when {
            state == RequestState.STREAMING -> afterInterruptedResponse(kind, written)
            kind == FailureKind.CALLER_LEFT -> endWith(if (unrepeatable) RequestEvent.LOSE_TRACK else RequestEvent.FAIL_WRITTEN)
            !written -> afterUnwritten(usesRetryBudget = kind == FailureKind.REFUSED_UNREAD && limits.refusalsUseRetryBudget)
            unrepeatable -> endWith(RequestEvent.LOSE_TRACK)
            else -> afterWritten()
        }
    }

    private fun endUnsent(): FailureAction = endWith(if (mayHaveRun) RequestEvent.FAIL_WRITTEN else RequestEvent.REFUSE)

    private fun afterWritten(): FailureAction {
        val mayRetry = runs < limits.maxRuns && sends < limits.maxSends && budget.tryRetry()
        return if (mayRetry) retry() else endWith(RequestEvent.FAIL_WRITTEN)
    }

    private fun afterUnwritten(usesRetryBudget: Boolean): FailureAction = when {
        sends < limits.maxSends && (!usesRetryBudget || budget.tryRetry()) -> retry()
        mayHaveRun -> endWith(RequestEvent.FAIL_WRITTEN)
        else -> endWith(RequestEvent.FAIL_UNWRITTEN)
    }

    private fun afterInterruptedResponse(kind: FailureKind, written: Boolean): FailureAction = when {
        kind == FailureKind.CALLER_LEFT || !resumable -> endWith(RequestEvent.FAIL_WRITTEN)
        !written -> resumeIf(++unwrittenResumes < limits.maxSends)
        limits.resumesCountAsRuns -> resumeIf(runs < limits.maxRuns && ++resumes <= limits.maxResumes && budget.tryRetry())
        else -> resumeIf(++resumes <= limits.maxResumes)
    }

    private fun resumeIf(allowed: Boolean): FailureAction {
        if (!allowed) return endWith(RequestEvent.FAIL_WRITTEN)
        transition(RequestEvent.RESUME)
        return FailureAction.Resume
    }

    private fun retry(): FailureAction {
        transition(RequestEvent.RETRY)
        return FailureAction.Retry
    }

    private fun endWith(event: RequestEvent): FailureAction {
        transition(event)
        return FailureAction.End(checkNotNull(end) { "$event must lead to a final state" })
    }

    private fun transition(event: RequestEvent) {
        state = checkNotNull(CHART.next(state, event)) { "state chart has no transition for $event in state $state" }
    }

    public companion object {
        /** The state chart of requests, loaded from `charts/request.toml`. */
        public val CHART: StateChart<RequestState, RequestEvent> =
            loadChart("request", RequestState.entries, RequestEvent.entries)
    }
}

/**
 * Limits on the attempts of one request.
 *
 * @property maxRuns maximum number of attempts that may have run at an upstream.
 * @property maxSends maximum number of attempts, including those that were rejected unread or could not connect.
 * @property maxResumes maximum number of times that an interrupted response is resumed.
 * @property resumesCountAsRuns whether a resume counts as a run and consumes the retry budget.
 * @property refusalsUseRetryBudget whether a retry after a rejection consumes the retry budget.
 */
public data class AttemptLimits(
    public val maxRuns: Int = 3,
    public val maxSends: Int = 3,
    public val maxResumes: Int = 3,
    public val resumesCountAsRuns: Boolean = false,
    public val refusalsUseRetryBudget: Boolean = false,
)
