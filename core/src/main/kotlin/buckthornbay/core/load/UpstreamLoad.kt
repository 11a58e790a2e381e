package buckthornbay.core.load

/**
 * The load that an upstream reports with a response.
 *
 * @property running requests that the upstream is executing.
 * @property waiting requests in the upstream's queue.
 * @property slots requests that the upstream executes at once.
 * @property slowdown factor by which work on the upstream's machine currently takes longer than usual; 1.0 is normal speed.
 */
public data class LoadReport(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slowdown: Double,
)

/**
 * What a host assumes about an upstream, for logs.
 *
 * @property allowedPerSecond work that this host may send to the upstream, per second: tokens for an engine, requests otherwise.
 * @property freeSlots slots without a request according to the latest [LoadReport]; null if there is none or it is too old.
 * @property requestsPerSecond this host's part of the request rate limit that the upstream states; null if it states none.
 * @property slotWaitMillis expected time until a request that is sent now gets a slot, in milliseconds; 0 for a plain service.
 */
public data class LoadView(
    public val allowedPerSecond: Double,
    public val freeSlots: Int?,
    public val requestsPerSecond: Double? = null,
    public val slotWaitMillis: Double = 0.0,
)

/** The outcome of a request that was sent to an upstream. */
public enum class SendOutcome {
    /** The upstream returned a complete, valid response. */
    ANSWERED,

    /** The upstream rejected the request because it is at capacity; nothing was executed. */
    REFUSED,

    /** The upstream returned an error or the connection was lost. */
    FAILED,

    /** No connection could be established. */
    UNREACHABLE,

    /** The caller disconnected or the request's deadline passed. */
    ABANDONED,
}

/**
 * The estimated load of one upstream and the limit on what this host may send to it.
 *
 * Each host learns from the responses that it receives, so load changes need no messages between hosts. The limit rises while
 * the upstream starts requests at once and falls when requests queue there. Hosts that share an upstream converge to equal
 * shares of it without coordination.
 */
public interface UpstreamLoad {
    /** Number of this host's requests that are in progress at the upstream. */
    public val inFlight: Int

    /** Returns whether a request of [cost] may be sent now. Monotonic: if so, a cheaper request may be sent too. */
    public fun hasRoom(nowMillis: Long, cost: Double): Boolean

    /** Returns the expected queueing time at the upstream of a request sent now, in milliseconds. */
    public fun expectedWaitMillis(nowMillis: Long): Double

    /** Returns the expected processing time for work of [cost], without queueing, in milliseconds. */
    public fun serviceMillis(cost: Double): Double

    /** Records that request [id] of [cost] was sent. */
    public fun sent(nowMillis: Long, id: String, cost: Double)

    /** Records that the response to [id] has started, with the load [report] that came with it, if any. */
    public fun responseStarted(nowMillis: Long, id: String, report: LoadReport?)

    /** Records that a stream event came [gapMillis] after the previous one, where up to [allowedMillis] is acceptable. */
    public fun gapObserved(nowMillis: Long, gapMillis: Long, allowedMillis: Long): Unit = Unit

    /** Returns what this host assumes about the upstream. */
    public fun view(nowMillis: Long): LoadView

    /** Records that [id] ended with [outcome]. */
    public fun ended(nowMillis: Long, id: String, outcome: SendOutcome)
}
