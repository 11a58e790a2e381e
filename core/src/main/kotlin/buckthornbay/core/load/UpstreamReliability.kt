package buckthornbay.core.load

/**
 * The failure rate of one upstream as observed by this host, and the backoff after failed connections.
 *
 * The failure rate detects upstreams that report themselves healthy but fail some of their requests. The backoff avoids
 * upstreams that have stopped but are still in the registry.
 */
public class UpstreamReliability(private val settings: UpstreamReliabilitySettings = UpstreamReliabilitySettings()) {
    private var failureRate = 0.0
    private var failureSeenAtMillis = 0L
    private var backoffMillis = 0L

    /** Time until which the upstream is skipped after a failed connection, in milliseconds. */
    public var backoffUntilMillis: Long = Long.MIN_VALUE / 2
        private set

    /** Returns the expected fraction of requests that fail, from 0 to 1. */
    public fun expectedFailureRate(nowMillis: Long): Double {
        val age = (nowMillis - failureSeenAtMillis).toDouble() / settings.failureDecayMillis
        return failureRate * (1.0 - age).coerceIn(0.0, 1.0)
    }

    /** Records the outcome of a request. */
    public fun record(nowMillis: Long, outcome: SendOutcome) {
        when (outcome) {
            SendOutcome.ANSWERED -> {
                backoffMillis = 0
                updateFailureRate(nowMillis, 0.0)
            }
            SendOutcome.FAILED -> updateFailureRate(nowMillis, 1.0)
            SendOutcome.UNREACHABLE -> backOff(nowMillis)
            SendOutcome.REFUSED, SendOutcome.ABANDONED -> Unit
        }
    }

    private fun updateFailureRate(nowMillis: Long, sample: Double) {
        failureRate = expectedFailureRate(nowMillis)
        failureRate += settings.smoothing * (sample - failureRate)
        failureSeenAtMillis = nowMillis
    }

    private fun backOff(nowMillis: Long) {
        backoffMillis = (backoffMillis * 2).coerceIn(settings.minBackoffMillis, settings.maxBackoffMillis)
        backoffUntilMillis = nowMillis + backoffMillis
        updateFailureRate(nowMillis, 1.0)
    }
}

/**
 * Constants of [UpstreamReliability].
 *
 * @property smoothing smoothing factor of the failure rate.
 * @property failureDecayMillis time after which the failure rate has decayed to zero, in milliseconds; faults usually last a
 * few seconds.
 * @property minBackoffMillis backoff after the first failed connection, in milliseconds; it doubles with each further one.
 * @property maxBackoffMillis longest backoff, in milliseconds; a recovered upstream is used again after at most this time.
 */
public data class UpstreamReliabilitySettings(
    public val smoothing: Double = 0.2,
    public val failureDecayMillis: Double = 5_000.0,
    public val minBackoffMillis: Long = 500,
    public val maxBackoffMillis: Long = 2_000,
)
