package buckthornbay.core.wire

import buckthornbay.core.load.LoadReport
import buckthornbay.core.load.TokenDemand

/**
 * The names of request and answer headers in one deployment.
 *
 * @property attemptId names one attempt of a caller; upstreams echo it.
 * @property remainingMillis how long the sender will wait, in milliseconds.
 * @property lastEventId the last event of a stream that the receiver has.
 * @property answerSignature an upstream's signature, which every success must have.
 * @property workspace the workspace that a request is served for.
 * @property expectedUpstream the only upstream that may run the request.
 * @property load what an upstream says of its load.
 * @property notRun says that an upstream did not run the request.
 * @property tokenDemand sizes of prompt and answer.
 * @property promptParts shared parts of the prompt.
 * @property copyFrom address of the engine from which an engine is to copy what that one keeps of the prompt.
 * @property routerOnly headers, in lower case, that only the router may set.
 * @property alwaysForwarded headers, in lower case, that no `Connection` header can take away.
 */
public data class HeaderNames(
    public val attemptId: String,
    public val remainingMillis: String,
    public val lastEventId: String,
    public val answerSignature: String,
    public val workspace: String,
    public val expectedUpstream: String,
    public val load: String,
    public val notRun: String,
    public val tokenDemand: String,
    public val promptParts: String,
    public val copyFrom: String,
    public val routerOnly: Set<String>,
    public val alwaysForwarded: Set<String>,
)

/** Where a caller that asks for addresses is. */
public data class AddressQuery(public val regionName: String?, public val zoneName: String?)

/** How the callers and upstreams of one deployment talk to a router. */
public interface CallerInterface {
    /** The names of the headers. */
    public val headers: HeaderNames

    /** The path under which the deployment asks whether this host is ready. */
    public val readinessPath: String

    /** The path under which callers ask for addresses. */
    public val addressesPath: String

    /** Reads where a caller is from its query parameters. */
    public fun addressQuery(parameter: (String) -> String?): AddressQuery

    /** Writes the answer to a caller that asked for addresses. */
    public fun addressAnswer(addresses: List<String>, ttlMillis: Long): String

    /** Writes the body of an error of the router's own. */
    public fun errorBody(message: String): String

    /** Reads the sizes of a prompt from its headers; null where they are missing or malformed. */
    public fun tokenDemand(demand: String?, parts: String?): TokenDemand?

    /** Reads what an upstream said of its load; null where it is malformed. */
    public fun loadReport(value: String): LoadReport?
}
