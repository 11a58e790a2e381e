package buckthornbay.core.load

/**
 * The load of one upstream of a plain service, in requests.
 *
 * All hosts share the few slots of such an upstream. Its responses report how many requests are running and queued, and this
 * host adapts its window of concurrent requests so that the upstream's queue stays no longer than its number of slots.
 *
 * @param slots requests that the upstream executes at once, according to its registration.
 */
public class PlainLoad(slots: Int, private val settings: PlainLoadSettings = PlainLoadSettings()) : UpstreamLoad {
    /** Time at which each request in progress was sent, in milliseconds. */
    private val open = LinkedHashMap<String, Long>()
    private var slots = maxOf(1, slots)
    private var serviceMillis = settings.initialServiceMillis
    private var otherHostsRequests = 0.0
    private var otherHostsSeenAtMillis = 0L
    private var windowRequests = this.slots.toDouble()
    private var shrunkAtMillis = Long.MIN_VALUE / 2

    override val inFlight: Int get() = open.size

    override fun hasRoom(nowMillis: Long, cost: Double): Boolean = open.isEmpty() || open.size + 1 <= windowRequests

    override fun expectedWaitMillis(nowMillis: Long): Double {
        val weight = 1.0 - (nowMillis - otherHostsSeenAtMillis).toDouble() / settings.reportDecayMillis
        val requests = open.size + otherHostsRequests * weight.coerceIn(0.0, 1.0)
        return (requests + 1 - slots).coerceAtLeast(0.0) * serviceMillis / slots
    }

    override fun serviceMillis(cost: Double): Double = serviceMillis

    override fun view(nowMillis: Long): LoadView = LoadView(windowRequests * MILLIS_PER_SECOND / serviceMillis, freeSlots = null)

    override fun sent(nowMillis: Long, id: String, cost: Double) {
        open[id] = nowMillis
    }

    override fun responseStarted(nowMillis: Long, id: String, report: LoadReport?) {
        if (report == null) return
        slots = maxOf(1, report.slots)
        otherHostsRequests = (report.running + report.waiting - open.size).coerceAtLeast(0).toDouble()
        otherHostsSeenAtMillis = nowMillis
        if (report.waiting > settings.maxQueuedRounds * slots) {
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
        if (nowMillis - shrunkAtMillis < settings.shrinkIntervalMillis) return
        shrunkAtMillis = nowMillis
        windowRequests = (windowRequests * settings.shrinkFactor).coerceAtLeast(1.0)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * Constants of [PlainLoad].
 *
 * @property initialServiceMillis service time before the first sample, in milliseconds.
 * @property smoothing smoothing factor of the service time.
 * @property reportDecayMillis time after which reported requests of other hosts have decayed to zero, in milliseconds: a few
 * service times.
 * @property maxQueuedRounds queue length at which the window shrinks, as a multiple of the upstream's slots.
 * @property shrinkFactor factor applied to the window on a sign of overload.
 * @property shrinkIntervalMillis minimum time between two reductions of the window, in milliseconds.
 * @property maxWindowRequests upper bound of the window, in requests.
 */
public data class PlainLoadSettings(
    public val initialServiceMillis: Double = 80.0,
    public val smoothing: Double = 0.1,
    public val reportDecayMillis: Double = 400.0,
    public val maxQueuedRounds: Double = 1.0,
    public val shrinkFactor: Double = 0.7,
    public val shrinkIntervalMillis: Long = 200,
    public val maxWindowRequests: Double = 64.0,
)
