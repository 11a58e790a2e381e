package buckthornbay.core.wire

/**
 * What the surroundings of a router answer in a rehearsal.
 *
 * @property headers headers of the answer besides its length.
 */
public data class WarmUpResponse(public val body: String, public val headers: Map<String, String>)

/** A caller's request in a rehearsal; [target] is path and query. */
public data class WarmUpRequest(public val target: String, public val headers: Map<String, String>)

/**
 * Plays a deployment's store, upstreams and callers in a few fixed messages, so that a router can be run through once when it
 * is built.
 */
public interface WarmUpScript {
    /** Answers [target], which the router asked of the store or sent to an upstream; [header] reads the request's headers. */
    public fun answer(target: String, address: String, header: (String) -> String?): WarmUpResponse

    /** Returns the requests that callers send. */
    public fun requests(): List<WarmUpRequest>
}
