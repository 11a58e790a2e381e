package buckthornbay.router.gateway

/** Reports once a second what this host has at the engines and how late its event loop is. */
internal class LoopReport(private val context: GatewayContext) {
    private var reportedAtMillis = 0L
    private var maxDelayMillis = 0L

    /** Records that a task ran [lateMillis] after its time, and reports if it is time to. */
    fun add(nowMillis: Long, lateMillis: Long) {
        val delayMillis = lateMillis.coerceAtLeast(0)
        context.metrics.eventLoopDelay(delayMillis)
        maxDelayMillis = maxOf(maxDelayMillis, delayMillis)
        if (nowMillis - reportedAtMillis < PERIOD_MILLIS) return
        reportedAtMillis = nowMillis
        val accounts = context.accounts.engineWork
        for (service in accounts.services) {
            context.log.engineWork(
                service,
                accounts.ownWork(nowMillis, service),
                context.dispatcher.waitingCount,
                maxDelayMillis,
            )
        }
        maxDelayMillis = 0
    }

    private companion object {
        /** Period of the report, in milliseconds. */
        const val PERIOD_MILLIS = 1_000L
    }
}
