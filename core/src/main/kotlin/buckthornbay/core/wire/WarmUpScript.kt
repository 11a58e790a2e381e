package buckthornbay.core.wire

/**
 * A stub response to a router in a warm-up run.
 *
 * @property headers response headers other than the content length.
 */
public data class WarmUpResponse(public val body: String, public val headers: Map<String, String>)

/** A caller's request in a warm-up run; [target] is the path and query. */
public data class WarmUpRequest(public val target: String, public val headers: Map<String, String>)

/** The fixed messages of a stub store, upstreams and callers for a warm-up run of a router at build time. */
public interface WarmUpScript {
    /** Returns the response to a request for [target] at the store or an upstream; [header] looks up request headers by name. */
    public fun answer(target: String, address: String, header: (String) -> String?): WarmUpResponse

    /** Returns the callers' requests. */
    public fun requests(): List<WarmUpRequest>
}
