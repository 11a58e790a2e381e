package buckthornbay.operator

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A load scenario, read from TOML.
 *
 * @property durationSeconds period over which requests are scheduled, in seconds.
 * @property warmUpSeconds initial part of the run whose requests are not counted, in seconds.
 * @property maxRequests maximum number of requests in the run.
 * @property maxInProgress maximum number of concurrent requests; further requests wait, and latencies include the wait.
 * @property seed seed of the random arrival times and request sizes.
 * @property flows the kinds of requests, sent concurrently.
 */
@Serializable
public data class LoadScenario(
    public val durationSeconds: Int = 30,
    public val warmUpSeconds: Int = 0,
    public val maxRequests: Int = 100_000,
    public val maxInProgress: Int = 500,
    public val seed: Long = 1,
    public val flows: List<LoadFlow>,
)

/**
 * A kind of request with Poisson arrivals, independent of the completion of earlier requests.
 *
 * @property name label of the flow in the results.
 * @property workspaceKey bearer key of the workspace.
 * @property model requested model; absent for a plain service.
 * @property method HTTP method of a plain service request; requests with a [model] use POST.
 * @property path request path.
 * @property latencyClass requested latency class; absent for the default of the service.
 * @property ratePerSecond mean arrival rate, in requests per second.
 * @property minTokens minimum number of tokens in a response.
 * @property maxTokens maximum number of tokens in a response.
 * @property pinnedFraction fraction of requests that are sent to the first address only, from 0 to 1.
 * @property peakFactor factor on the arrival rate during peak load.
 * @property peakFromSecond start of the peak, in seconds from the start of the run.
 * @property peakSeconds duration of the peak, in seconds.
 * @property nonIdempotent whether each request carries an idempotency key.
 */
@Serializable
public data class LoadFlow(
    public val name: String,
    @SerialName("key")
    public val workspaceKey: String,
    public val model: String? = null,
    public val method: String = "GET",
    public val path: String = "/v1/completions",
    public val latencyClass: String? = null,
    public val ratePerSecond: Double,
    public val minTokens: Int = 8,
    public val maxTokens: Int = 32,
    @SerialName("pinnedPart")
    public val pinnedFraction: Double = 0.0,
    @SerialName("crestFactor")
    public val peakFactor: Double = 1.0,
    @SerialName("crestFromSecond")
    public val peakFromSecond: Int = 0,
    @SerialName("crestSeconds")
    public val peakSeconds: Int = 0,
    @SerialName("unrepeatable")
    public val nonIdempotent: Boolean = false,
)
