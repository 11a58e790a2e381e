package buckthornbay.core.load

/**
 * How far an upstream is trusted after failures that this host saw.
 *
 * It answers upstreams that fail part of their requests while they say that they are healthy, and upstreams that are gone
 * before the registry says so.
 */
public class UpstreamReliability(private val settings: UpstreamTrustSettings = UpstreamTrustSettings()) {
    private var failureRate = 0.0
    private var failureSeenAtMillis = 0L
    private var restUntilMillis = Long.MIN_VALUE / 2
    private var restMillis = 0L

    /** Whether the upstream may be used now; one that could not be reached rests for a while. */
    public fun isUsable(nowMillis: Long): Boolean = nowMillis >= restUntilMillis

    /** Returns the part of requests that is expected to fail, from 0 to 1. */
    public fun expectedFailureRate(nowMillis: Long): Double {
        val age = (nowMillis - failureSeenAtMillis).toDouble() / settings.forgiveMillis
        return failureRate * (1.0 - age).coerceIn(0.0, 1.0)
    }

    /** Takes in how a request ended. */
    public fun record(nowMillis: Long, outcome: SendOutcome) {
        when (outcome) {
            SendOutcome.ANSWERED -> {
                restMillis = 0
                move(nowMillis, 0.0)
            }
            SendOutcome.FAILED -> move(nowMillis, 1.0)
            SendOutcome.UNREACHABLE -> rest(nowMillis)
            SendOutcome.REFUSED, SendOutcome.ABANDONED -> Unit
        }
    }

    private fun move(nowMillis: Long, sample: Double) {
        failureRate = expectedFailureRate(nowMillis)
        failureRate += settings.smoothing * (sample - failureRate)
        failureSeenAtMillis = nowMillis
    }

    private fun rest(nowMillis: Long) {
        restMillis = (restMillis * 2).coerceIn(settings.shortestRestMillis, settings.longestRestMillis)
        restUntilMillis = nowMillis + restMillis
        move(nowMillis, 1.0)
    }
}

/**
 * Constants of [UpstreamReliability].
 *
 * @property smoothing part of the way that one request moves the failure rate.
 * @property forgiveMillis time after which failures count for nothing, in milliseconds; troubles last some seconds.
 * @property shortestRestMillis rest after the first failed connection, in milliseconds.
 * @property longestRestMillis longest rest, in milliseconds; an upstream that came back is found within it.
 */
public data class UpstreamTrustSettings(
    public val smoothing: Double = 0.2,
    public val forgiveMillis: Double = 5_000.0,
    public val shortestRestMillis: Long = 500,
    public val longestRestMillis: Long = 2_000,
)
