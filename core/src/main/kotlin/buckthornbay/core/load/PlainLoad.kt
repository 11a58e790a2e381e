package buckthornbay.core.load

/**
 * The load of one upstream of a plain service, in requests.
 *
 * It answers load in which a few slots are shared by all hosts: answers tell how many requests run and wait, and the host
 * keeps its own part of them small enough that the upstream's queue stays under one round of its slots.
 *
 * @param slots requests that the upstream runs at once, as its registration says.
 */
public class PlainLoad(slots: Int, private val settings: PlainLoadSettings = PlainLoadSettings()) : UpstreamLoad {
    /** When each request was sent that has not ended, in milliseconds. */
    private val open = LinkedHashMap<String, Long>()
    private var slots = maxOf(1, slots)
    private var serviceMillis = settings.initialServiceMillis
    private var othersRequests = 0.0
    private var othersSeenAtMillis = 0L
    private var windowRequests = this.slots.toDouble()
    private var shrunkAtMillis = Long.MIN_VALUE / 2

    override val inFlight: Int get() = open.size

    override fun hasRoom(nowMillis: Long, cost: Double): Boolean = open.isEmpty() || open.size + 1 <= windowRequests

    override fun expectedWaitMillis(nowMillis: Long): Double {
        val fade = 1.0 - (nowMillis - othersSeenAtMillis).toDouble() / settings.fadeMillis
        val requests = open.size + othersRequests * fade.coerceIn(0.0, 1.0)
        return (requests + 1 - slots).coerceAtLeast(0.0) * serviceMillis / slots
    }

    override fun serviceMillis(cost: Double): Double = serviceMillis

    override fun sent(nowMillis: Long, id: String, cost: Double) {
        open[id] = nowMillis
    }

    override fun began(nowMillis: Long, id: String, report: LoadReport?) {
        if (report == null) return
        slots = maxOf(1, report.slots)
        othersRequests = (report.running + report.waiting - open.size).coerceAtLeast(0).toDouble()
        othersSeenAtMillis = nowMillis
        if (report.waiting > settings.targetRounds * slots) {
            shrink(nowMillis)
        } else {
            windowRequests = (windowRequests + 1.0 / windowRequests).coerceAtMost(settings.maxWindowRequests)
        }
    }

    override fun ended(nowMillis: Long, id: String, outcome: SendOutcome) {
        val sentAtMillis = open.remove(id) ?: return
        when (outcome) {
            SendOutcome.ANSWERED -> {
                val sampleMillis = (nowMillis - sentAtMillis).toDouble()
                serviceMillis += settings.smoothing * (sampleMillis - serviceMillis)
            }
            SendOutcome.REFUSED, SendOutcome.FAILED -> shrink(nowMillis)
            SendOutcome.UNREACHABLE, SendOutcome.ABANDONED -> Unit
        }
    }

    private fun shrink(nowMillis: Long) {
        if (nowMillis - shrunkAtMillis < settings.shrinkPauseMillis) return
        shrunkAtMillis = nowMillis
        windowRequests = (windowRequests * settings.shrinkFactor).coerceAtLeast(1.0)
    }
}

/**
 * Constants of [PlainLoad].
 *
 * @property initialServiceMillis time of a request before any was seen, in milliseconds.
 * @property smoothing part of the way that one sample moves the service time.
 * @property fadeMillis time after which reported requests count for nothing, in milliseconds: a few service times.
 * @property targetRounds rounds of the upstream's slots that may wait there before the window shrinks.
 * @property shrinkFactor part of the window that is left after a sign of overload.
 * @property shrinkPauseMillis least time between two such steps, in milliseconds.
 */
public data class PlainLoadSettings(
    public val initialServiceMillis: Double = 80.0,
    public val smoothing: Double = 0.1,
    public val fadeMillis: Double = 400.0,
    public val targetRounds: Double = 1.0,
    public val shrinkFactor: Double = 0.7,
    public val shrinkPauseMillis: Long = 200,
    public val maxWindowRequests: Double = 64.0,
)
