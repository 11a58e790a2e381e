package buckthornbay.core.request

import buckthornbay.core.chart.StateChart
import buckthornbay.core.chart.loadChart
import buckthornbay.protocol.RequestEnd

/** Where a request is; the chart `charts/request.toml` says what leads where. */
public enum class RequestState { RECEIVED, QUEUED, SENDING, STREAMING, ANSWERED, FAILED, NOT_RUN, UNKNOWN }

/** What can happen to a request. */
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

/** How an attempt at an upstream failed, which decides what may be said and done. */
public enum class FailureKind {
    /** No connection came about, so nothing was written. */
    NOT_CONNECTED,

    /** The upstream refused the request without reading it, and said so. */
    REFUSED_UNREAD,

    /** The connection broke or fell silent after the request was, or may have been, written. */
    BROKEN_BEFORE_ANSWER,

    /** The answer had begun. */
    BROKEN_IN_ANSWER,

    /** The caller left. */
    CALLER_LEFT,
}

/** What is to be done after a failed attempt. */
public sealed interface FailureAction {
    /** Queue the request again; nothing of an answer has reached the caller. */
    public data object Retry : FailureAction

    /** Ask the upstream for the rest of the answer. */
    public data object Resume : FailureAction

    /** The request is over. */
    public data class End(public val end: RequestEnd) : FailureAction
}

/**
 * The life of one request: it keeps the state and decides what follows a failure.
 *
 * Each request reaches exactly one [RequestEnd]. [RequestEnd.NOT_RUN] is reached only while nothing was written to an
 * upstream, and an unrepeatable request is never sent again once something may have been written.
 *
 * @param unrepeatable whether the request may run at most once.
 * @param resumable whether the upstream can continue a broken answer.
 * @param budget what repetitions draw on.
 */
public class RequestLifecycle(
    private val unrepeatable: Boolean,
    private val resumable: Boolean,
    private val budget: RetryAllowance,
    private val limits: AttemptLimits = AttemptLimits(),
) {
    /** Where the request is now. */
    public var state: RequestState = CHART.initial
        private set

    private var sends = 0
    private var runs = 0
    private var resumes = 0
    private var unwrittenResumes = 0
    private var mayHaveRun = false

    /** The request's end, or null while it goes on. */
    public val end: RequestEnd? get() =
        when (state) {
            RequestState.ANSWERED -> RequestEnd.ANSWERED
            RequestState.FAILED -> RequestEnd.FAILED
            RequestState.NOT_RUN -> RequestEnd.NOT_RUN
            RequestState.UNKNOWN -> RequestEnd.UNKNOWN
            else -> null
        }

    /** The request waits for a slot. */
    public fun queued() {
        if (state == RequestState.RECEIVED) budget.recordRequest()
        if (state != RequestState.QUEUED) move(RequestEvent.QUEUE)
    }

    /**
     * The request is refused while it waits, or its caller left; it counts as not run only if no earlier attempt was written.
     */
    public fun refused(): FailureAction = endUnsent()

    /** The request is being sent to an upstream. */
    public fun dispatched() {
        sends++
        move(RequestEvent.DISPATCH)
    }

    /** The first byte of the answer arrived. */
    public fun answering(): Unit = move(RequestEvent.FIRST_BYTE)

    /** The whole answer was passed on. */
    public fun completed(): Unit = move(RequestEvent.COMPLETE)

    /** Decides what follows a failure of [kind] and moves there. */
    public fun failed(kind: FailureKind): FailureAction {
        if (state == RequestState.QUEUED || state == RequestState.RECEIVED) return endUnsent()
        val written = kind != FailureKind.NOT_CONNECTED && kind != FailureKind.REFUSED_UNREAD
        mayHaveRun = mayHaveRun || written
        if (written) runs++
        return when {
            state == RequestState.STREAMING -> afterBrokenAnswer(kind, written)
            kind == FailureKind.CALLER_LEFT -> endWith(if (unrepeatable) RequestEvent.LOSE_TRACK else RequestEvent.FAIL_WRITTEN)
            !written -> afterUnwritten(drawsOnBudget = kind == FailureKind.REFUSED_UNREAD && limits.refusalsUseRetryBudget)
            unrepeatable -> endWith(RequestEvent.LOSE_TRACK)
            else -> afterWritten()
        }
    }

    private fun endUnsent(): FailureAction = endWith(if (mayHaveRun) RequestEvent.FAIL_WRITTEN else RequestEvent.REFUSE)

    private fun afterWritten(): FailureAction {
        val mayRepeat = runs < limits.maxRuns && sends < limits.maxSends && budget.tryRetry()
        return if (mayRepeat) retry() else endWith(RequestEvent.FAIL_WRITTEN)
    }

    private fun afterUnwritten(drawsOnBudget: Boolean): FailureAction = when {
        sends < limits.maxSends && (!drawsOnBudget || budget.tryRetry()) -> retry()
        mayHaveRun -> endWith(RequestEvent.FAIL_WRITTEN)
        else -> endWith(RequestEvent.FAIL_UNWRITTEN)
    }

    private fun afterBrokenAnswer(kind: FailureKind, written: Boolean): FailureAction = when {
        kind == FailureKind.CALLER_LEFT || !resumable -> endWith(RequestEvent.FAIL_WRITTEN)
        !written -> resumeIf(++unwrittenResumes < limits.maxSends)
        limits.resumesCountAsRuns -> resumeIf(runs < limits.maxRuns && ++resumes <= limits.maxResumes && budget.tryRetry())
        else -> resumeIf(++resumes <= limits.maxResumes)
    }

    private fun resumeIf(allowed: Boolean): FailureAction {
        if (!allowed) return endWith(RequestEvent.FAIL_WRITTEN)
        move(RequestEvent.RESUME)
        return FailureAction.Resume
    }

    private fun retry(): FailureAction {
        move(RequestEvent.RETRY)
        return FailureAction.Retry
    }

    private fun endWith(event: RequestEvent): FailureAction {
        move(event)
        return FailureAction.End(checkNotNull(end) { "$event must end a request" })
    }

    private fun move(event: RequestEvent) {
        state = checkNotNull(CHART.next(state, event)) { "the chart allows no $event in state $state" }
    }

    public companion object {
        /** The chart of requests, as `charts/request.toml` states it. */
        public val CHART: StateChart<RequestState, RequestEvent> =
            loadChart("request", RequestState.entries, RequestEvent.entries)
    }
}

/**
 * Bounds on how often one request is sent.
 *
 * @property maxRuns upstreams at which the request may have run.
 * @property maxSends attempts in all, those included that were refused unread or found no connection.
 * @property maxResumes times that a begun answer is continued.
 * @property resumesCountAsRuns whether a continuation counts as a run and draws on the retry budget.
 * @property refusalsUseRetryBudget whether an attempt after a refusal draws on the retry budget.
 */
public data class AttemptLimits(
    public val maxRuns: Int = 3,
    public val maxSends: Int = 3,
    public val maxResumes: Int = 3,
    public val resumesCountAsRuns: Boolean = false,
    public val refusalsUseRetryBudget: Boolean = false,
)
