package buckthornbay.core.request

import kotlin.math.abs

/** Whether an upstream accepts connections. */
public enum class Reachability {
    ACCEPTING,

    /** It refuses them: no process listens at its address. */
    REFUSING,

    /** Neither: it gave no answer in time, or this host couldn't ask. */
    UNKNOWN,
}

/** What a host makes of a response that only the end of its connection ends. */
public enum class ResponseEnd {
    /** The response is incomplete. */
    BROKEN_OFF,

    /** The upstream marked no end, but nothing shows that the response is incomplete; the caller gets it as complete. */
    UNMARKED,
}

/** A [ResponseEnd] and the observation that decided it, for the log. */
public data class ResponseEndDecision(public val end: ResponseEnd, public val reason: String)

/**
 * What a host knows about the upstream of a response whose connection has ended, and that has neither a length nor chunks.
 *
 * A process that crashes closes its connections in the same way as one that has finished, so the end alone proves nothing.
 *
 * @property endedAtMillis time at which the connection ended, in milliseconds.
 * @property reachability result of a check that began after the end.
 * @property checkedAtMillis time of that result, in milliseconds.
 * @property isLeaving whether the upstream is shutting down: it has said so, or its registration says so or is gone.
 * @property hasRestarted whether a later incarnation is registered under the upstream's id.
 * @property breaksAtMillis times at which other responses of the upstream broke off, in milliseconds.
 */
public data class ConnectionEnd(
    public val endedAtMillis: Long,
    public val reachability: Reachability,
    public val checkedAtMillis: Long,
    public val isLeaving: Boolean,
    public val hasRestarted: Boolean,
    public val breaksAtMillis: List<Long>,
) {
    /** The number of other responses that broke off at the same moment. */
    public val breaksTogether: Int get() = breaksAtMillis.count { abs(it - endedAtMillis) <= SAME_MOMENT_MILLIS }

    /** Decides whether the response counts as broken off. */
    public fun decide(): ResponseEndDecision = when {
        breaksTogether >= MIN_BREAKS_TOGETHER -> ResponseEndDecision(
            ResponseEnd.BROKEN_OFF,
            "the connection ended together with $breaksTogether others that broke off",
        )
        isLeaving -> ResponseEndDecision(ResponseEnd.UNMARKED, "the upstream is leaving")
        hasRestarted -> ResponseEndDecision(ResponseEnd.BROKEN_OFF, "the connection ended, and the upstream has restarted")
        reachability == Reachability.REFUSING && checkedAtMillis - endedAtMillis <= MAX_CHECK_MILLIS ->
            ResponseEndDecision(ResponseEnd.BROKEN_OFF, "the connection ended, and the upstream accepts no new one")
        else -> ResponseEndDecision(ResponseEnd.UNMARKED, "nothing shows that the upstream crashed")
    }

    public companion object {
        /** Longest time that a response waits for the check, in milliseconds; several round trips between regions. */
        public const val MAX_CHECK_MILLIS: Long = 100

        /** Longest time between the closes of two connections of a process that ends, in milliseconds. */
        public const val SAME_MOMENT_MILLIS: Long = 50

        /** Number of responses that break off together only if their process ends; single ones break off by themselves. */
        public const val MIN_BREAKS_TOGETHER: Int = 2
    }
}
