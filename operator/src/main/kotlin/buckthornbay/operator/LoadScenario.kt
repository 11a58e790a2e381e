package buckthornbay.operator

import kotlinx.serialization.Serializable

/**
 * What a load run sends, read from TOML.
 *
 * @property durationSeconds how long new requests are sent.
 * @property warmUpSeconds how much of that is sent and not counted, in seconds.
 * @property maxRequests most requests of the whole run.
 * @property maxInProgress most requests under way at once; later ones wait, and their wait counts.
 * @property seed seed of arrival times and sizes.
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
 * One kind of request, which arrives at random times whether or not earlier ones have ended.
 *
 * @property key the workspace's bearer key.
 * @property model the model to ask for; absent for a plain service.
 * @property path the path of a plain service's call.
 * @property latencyClass the latency class to ask for; absent for the service's default.
 * @property ratePerSecond mean arrivals a second.
 * @property minTokens least tokens of an answer.
 * @property maxTokens most tokens of an answer.
 * @property pinnedPart part of the requests that go to the first address only, from 0 to 1.
 * @property crestFactor by how much the rate rises during the crest.
 * @property crestFromSecond when the crest begins, in seconds from the start.
 * @property crestSeconds how long the crest lasts.
 * @property unrepeatable whether each request carries an idempotency key.
 */
@Serializable
public data class LoadFlow(
    public val name: String,
    public val key: String,
    public val model: String? = null,
    public val method: String = "GET",
    public val path: String = "/v1/completions",
    public val latencyClass: String? = null,
    public val ratePerSecond: Double,
    public val minTokens: Int = 8,
    public val maxTokens: Int = 32,
    public val pinnedPart: Double = 0.0,
    public val crestFactor: Double = 1.0,
    public val crestFromSecond: Int = 0,
    public val crestSeconds: Int = 0,
    public val unrepeatable: Boolean = false,
)
