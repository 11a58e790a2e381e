package buckthornbay.core.load

/**
 * What an upstream said of its load with an answer.
 *
 * @property slowdown how long work takes on its machine at that moment, 1.0 as usual.
 */
public data class LoadReport(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slowdown: Double,
)

/** How a request that was sent to an upstream ended there. */
public enum class SendOutcome {
    /** The upstream answered as it should. */
    ANSWERED,

    /** The upstream said that it is full; nothing ran. */
    REFUSED,

    /** The upstream failed the request or its connection broke. */
    FAILED,

    /** No connection came about. */
    UNREACHABLE,

    /** The caller left, or the request's time was over. */
    ABANDONED,
}

/**
 * What this host knows of the load of one upstream, and how much it may send there.
 *
 * Every host learns by itself from the answers that it gets, so that no message is needed when load changes. The window of
 * work that is sent and has not begun grows while the upstream begins at once and shrinks when it makes requests wait; hosts
 * that share an upstream come to equal parts of it without knowing each other.
 */
public interface UpstreamLoad {
    /** Requests of this host that the upstream has not ended. */
    public val inFlight: Int

    /** Whether a request of [cost] may be sent now; where it may, one of less cost may as well. */
    public fun hasRoom(nowMillis: Long, cost: Double): Boolean

    /** Returns how long a request sent now is expected to wait before the upstream begins with it, in milliseconds. */
    public fun expectedWaitMillis(nowMillis: Long): Double

    /** Returns how long the upstream needs for [cost] once it has begun, in milliseconds. */
    public fun serviceMillis(cost: Double): Double

    /** Notes that request [id] of [cost] was sent. */
    public fun sent(nowMillis: Long, id: String, cost: Double)

    /** Notes the first part of the answer to [id], and what the upstream said with it. */
    public fun began(nowMillis: Long, id: String, report: LoadReport?)

    /** Notes that an event of a stream came [gapMillis] after the one before, where [allowedMillis] are still on time. */
    public fun gapObserved(nowMillis: Long, gapMillis: Long, allowedMillis: Long): Unit = Unit

    /** Notes the end of [id]. */
    public fun ended(nowMillis: Long, id: String, outcome: SendOutcome)
}
