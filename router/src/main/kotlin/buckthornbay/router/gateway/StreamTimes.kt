package buckthornbay.router.gateway

/** The timing of the events of one response as they are passed on to the caller. All times are in milliseconds. */
internal class StreamTimes {
    private var lastEventAtMillis: Long? = null

    /** Time from the arrival of the request to its first event; -1 before the first event. */
    var firstEventMillis: Long = -1
        private set

    /** Time from the first send to an upstream that began to respond until its first event; -1 before the first event. */
    var upstreamWaitMillis: Long = -1
        private set

    /** Longest pause between two consecutive events of the same upstream. */
    var longestPauseMillis: Long = 0
        private set

    /** Records the first event, which came [elapsedMillis] after the arrival of the request. */
    fun recordFirstEvent(elapsedMillis: Long) {
        firstEventMillis = elapsedMillis
    }

    /** Records that the first event came [millis] after the request was sent to its upstream. */
    fun recordUpstreamWait(millis: Long) {
        upstreamWaitMillis = millis
    }

    /** Records that events were passed on and returns the pause before them; null for the first events of an upstream. */
    fun recordForwardedEvents(nowMillis: Long): Long? {
        val pauseMillis = lastEventAtMillis?.let { nowMillis - it }
        lastEventAtMillis = nowMillis
        if (pauseMillis != null) longestPauseMillis = maxOf(longestPauseMillis, pauseMillis)
        return pauseMillis
    }

    /**
     * Records that the attempt failed. The pause until another upstream continues the stream is not measured, because it
     * does not indicate the load of that upstream.
     */
    fun recordInterruption() {
        lastEventAtMillis = null
    }
}
