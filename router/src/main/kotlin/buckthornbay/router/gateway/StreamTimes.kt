package buckthornbay.router.gateway

/** When the events of one answer were passed on; all times in milliseconds. */
internal class StreamTimes {
    private var eventAtMillis: Long? = null

    /** Time from the request's arrival to its first event; -1 before that. */
    var firstEventMillis: Long = -1
        private set

    /** The longest pause between two events of one upstream. */
    var longestPauseMillis: Long = 0
        private set

    /** Notes the first event, [elapsedMillis] after the request's arrival. */
    fun began(elapsedMillis: Long) {
        firstEventMillis = elapsedMillis
    }

    /** Notes that events were passed on, and returns the pause before them; null after a new beginning. */
    fun passed(nowMillis: Long): Long? {
        val pauseMillis = eventAtMillis?.let { nowMillis - it }
        eventAtMillis = nowMillis
        if (pauseMillis != null) longestPauseMillis = maxOf(longestPauseMillis, pauseMillis)
        return pauseMillis
    }

    /** The upstream broke off; the pause until another one goes on says nothing of that one's load. */
    fun broken() {
        eventAtMillis = null
    }
}
