package buckthornbay.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** What a caller was told about one request. */
public enum class Told {
    /** A success whose body was whole. */
    ANSWERED,

    /** A status that promises that nothing ran. */
    NOT_RUN,

    /** Anything else: an error, a cut answer, a closed connection. */
    UNKNOWN,
}

/**
 * Holds what callers and upstreams saw against what was promised.
 *
 * It only looks from outside: which requests reached an upstream, and what their callers were told.
 */
public class Promises {
    private val runs = ConcurrentHashMap<String, Int>()
    private val told = ConcurrentHashMap<String, Told>()
    private val once = ConcurrentHashMap.newKeySet<String>()
    private val broken = ConcurrentLinkedQueue<String>()

    /** Requests that were answered with success. */
    public val answeredCount: Int get() = told.values.count { it == Told.ANSWERED }

    /** Requests that callers sent. */
    public val toldCount: Int get() = told.size

    /** An upstream began to work on [id]. */
    public fun ran(id: String) {
        runs.merge(id, 1, Int::plus)
    }

    /** A caller sent [id], which may run once at most. */
    public fun sentOnce(id: String) {
        once += id
    }

    /** A caller heard of [id]. */
    public fun told(id: String, what: Told) {
        told[id] = what
    }

    /** A caller got [body] with a success for [id]; the upstreams answer each request with its own id. */
    public fun answered(id: String, body: String) {
        if (body != id) broken += "$id was answered with what belongs to another request: '$body'"
        told(id, Told.ANSWERED)
    }

    /** A caller got [events] of a stream for [id]; [whole] tells whether it ended as complete, at [lastEvent] it should. */
    public fun streamed(id: String, events: List<Int>, whole: Boolean, lastEvent: Int) {
        val expected = (1..events.size).toList()
        if (events != expected) broken += "$id: events are missing, doubled or out of order: $events"
        if (whole && events.size != lastEvent) broken += "$id: the stream looks whole after ${events.size} of $lastEvent events"
        told(id, if (whole) Told.ANSWERED else Told.UNKNOWN)
    }

    /** A request for [id] reached an upstream [lateMillis] after all had to know that it leaves. */
    public fun reachedLeaving(id: String, lateMillis: Long) {
        broken += "$id reached an upstream $lateMillis ms after it had to be left alone"
    }

    /** A request for [id] was served on a dropped route [lateMillis] after the change had to be in force. */
    public fun servedDroppedRoute(id: String, lateMillis: Long) {
        broken += "$id was served on a dropped route $lateMillis ms after the change had to be in force"
    }

    /** Returns all promises that were broken; call it when nothing is in progress any more. */
    public fun violations(): List<String> {
        val twice = once.filter { (runs[it] ?: 0) > 1 }.map { "$it may run once and ran ${runs[it]} times" }
        val untrue = told.filter { (id, what) -> what == Told.NOT_RUN && id in once && (runs[id] ?: 0) > 0 }
            .map { (id, _) -> "$id ran although its caller was told that it did not" }
        return broken.toList() + twice + untrue
    }
}
