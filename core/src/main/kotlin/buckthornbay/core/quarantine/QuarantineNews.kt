package buckthornbay.core.quarantine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a host tells its peers about crashed upstreams and the prompt parts that are blamed for them.
 *
 * Times are ages, because the clocks of hosts are not comparable. Each fact has an identity, so that a host that learns of a
 * fact again keeps the time of the first message, and ages don't drift from host to host.
 *
 * @property answered the latest proof for each suspected part that its requests are answered.
 */
@Serializable
public data class QuarantineNews(
    @SerialName("c") public val crashes: List<CrashNews> = emptyList(),
    @SerialName("a") public val answered: List<AnsweredNews> = emptyList(),
    @SerialName("q") public val quarantined: List<QuarantinedNews> = emptyList(),
)

/**
 * The crash of one incarnation of an upstream.
 *
 * @property upstream identity of the incarnation.
 * @property ageMillis time since the crash, in milliseconds.
 * @property suspects prompt parts of the requests that the incarnation had not begun to answer, or the most telling ones.
 * @property allParts a filter of all these parts, deflated and in Base64, if [suspects] are not all of them.
 * @property isCut whether recurring parts are missing, so that the sender doesn't know the cause for certain.
 */
@Serializable
public data class CrashNews(
    @SerialName("u") public val upstream: String,
    @SerialName("t") public val ageMillis: Long,
    @SerialName("s") public val suspects: List<SuspectNews>,
    @SerialName("f") public val allParts: String? = null,
    @SerialName("x") public val isCut: Boolean = false,
)

/**
 * A prompt part of a request that an upstream had not begun to answer when it crashed.
 *
 * @property position position of the part in the prompt, from 0.
 * @property sentAgeMillis time since the latest such request was sent, in milliseconds.
 * @property isInferred whether the sender knows this from a filter only, which may be wrong.
 */
@Serializable
public data class SuspectNews(
    @SerialName("p") public val part: String,
    @SerialName("n") public val position: Int,
    @SerialName("t") public val sentAgeMillis: Long,
    @SerialName("i") public val isInferred: Boolean = false,
)

/**
 * The proof that requests with [part] can be answered.
 *
 * @property proof identity of the proof, such as the id of the answered request.
 * @property ageMillis time since the proof, in milliseconds.
 */
@Serializable
public data class AnsweredNews(
    @SerialName("p") public val part: String,
    @SerialName("i") public val proof: String,
    @SerialName("t") public val ageMillis: Long,
)

/**
 * A quarantined prompt part.
 *
 * @property firstCrash identity of the upstream that crashed first among those that the part is blamed for.
 * @property ageMillis time since that crash, in milliseconds.
 * @property heldMillis time until a trial is allowed, in milliseconds; negative if it is allowed already.
 * @property holdMillis current hold time, which doubles with each failed trial, in milliseconds.
 */
@Serializable
public data class QuarantinedNews(
    @SerialName("p") public val part: String,
    @SerialName("u") public val firstCrash: String,
    @SerialName("t") public val ageMillis: Long,
    @SerialName("h") public val heldMillis: Long,
    @SerialName("d") public val holdMillis: Long,
)
