package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.load.Choice
import buckthornbay.core.request.FailureKind
import buckthornbay.core.request.RequestState
import buckthornbay.protocol.UpstreamId
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.Locale

private val logger = KotlinLogging.logger("buckthornbay.decisions")

/**
 * One line for each decision about a request or about what the host believes.
 *
 * Lines about requests are bounded for each second; what was left out is counted in a line of its own, so that the volume
 * stays bounded under load.
 */
internal class DecisionLog(private val clock: Clock, private val maxLinesPerSecond: Int = MAX_LINES_PER_SECOND) {
    private var second = 0L
    private var lines = 0
    private var leftOut = 0

    /** Version of the configuration and revision of the registrations on which decisions rest now. */
    var versionFields: () -> String = { "" }

    fun sent(terms: RequestTerms, upstream: UpstreamId, choice: Choice, waitedMillis: Long, attempt: Int) = line {
        "event=sent id=${terms.id} route=${terms.route.name} workspace=${terms.workspace} upstream=$upstream attempt=$attempt " +
            "waited_ms=$waitedMillis cost=${choice.cost.toLong()} expected_ms=${choice.expectedMillis.toLong()} " +
            "at_home=${choice.atHome} copy_from=${choice.copyFrom?.id} ${versionFields()}"
    }

    fun attemptFailed(terms: RequestTerms, upstream: UpstreamId, kind: FailureKind, reason: String) = line {
        "event=attempt_failed id=${terms.id} route=${terms.route.name} upstream=$upstream kind=$kind reason=\"$reason\""
    }

    fun ended(terms: RequestTerms, times: RequestTimes, reason: String) = line {
        "event=ended id=${terms.id} route=${terms.route.name} workspace=${terms.workspace} state=${times.state} " +
            "rank=${terms.rank} elapsed_ms=${times.elapsedMillis} first_event_ms=${times.stream.firstEventMillis} " +
            "longest_pause_ms=${times.stream.longestPauseMillis} reason=\"$reason\""
    }

    fun refused(terms: RequestTerms, reason: String, inputs: RefusalInputs) = line {
        "event=refused id=${terms.id} route=${terms.route.name} workspace=${terms.workspace} rank=${terms.rank} " +
            "waiting=${inputs.waitingCount} asked_tokens_per_s=${inputs.askedTokensPerSecond.toLong()} " +
            "share_tokens_per_s=${inputs.shareTokensPerSecond?.toLong()} retry_after_s=${inputs.retryAfterSeconds} " +
            "reason=\"$reason\" ${versionFields()}"
    }

    fun turnedAway(id: String?, status: Int, reason: String) = line {
        "event=turned_away id=$id status=$status reason=\"$reason\" ${versionFields()}"
    }

    fun lateAnswer(id: String, upstream: UpstreamId, answeredId: String) = line {
        "event=late_answer_skipped id=$id upstream=$upstream answered_id=$answeredId"
    }

    /** Notes a change of what this host believes; such lines are few and never left out. */
    fun stateChange(message: String) = logger.info { message }

    /** Notes something that an operator should look at. */
    fun warning(message: String) = logger.warn { message }

    private fun line(text: () -> String) {
        val nowSecond = clock.nowMillis() / MILLIS_PER_SECOND
        if (nowSecond != second) {
            if (leftOut > 0) logger.info { "event=lines_left_out count=$leftOut" }
            second = nowSecond
            lines = 0
            leftOut = 0
        }
        if (lines >= maxLinesPerSecond) {
            leftOut++
            return
        }
        lines++
        logger.info(text)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Lines about requests in a second; four for each of the 100 requests a second that a small host takes. */
        const val MAX_LINES_PER_SECOND = 400
    }
}

/**
 * What a refusal rests on.
 *
 * @property waitingCount requests that wait at this host.
 * @property askedTokensPerSecond what the workspace asks for on all hosts.
 * @property shareTokensPerSecond what it is due; null while all can have what they ask for.
 */
internal class RefusalInputs(
    val waitingCount: Int,
    val askedTokensPerSecond: Double,
    val shareTokensPerSecond: Double?,
    val retryAfterSeconds: String,
)

/** How a request ended, and how long it and its parts took. */
internal class RequestTimes(val state: RequestState, val elapsedMillis: Long, val stream: StreamTimes)

/** Writes [value] with two digits, independent of the machine's locale. */
internal fun twoDigits(value: Double): String = String.format(Locale.ROOT, "%.2f", value)
