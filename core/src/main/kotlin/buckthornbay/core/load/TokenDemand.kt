package buckthornbay.core.load

/** A part of a prompt that other requests may share; [id] names its content. */
public data class PromptPart(public val id: String, public val tokens: Int)

/**
 * What a request asks of a model engine.
 *
 * @property promptTokens tokens that must be read before the first token of the answer.
 * @property maxOutputTokens most tokens that the answer may have.
 * @property parts the beginning of the prompt in order; the last part is the request's own.
 */
public data class TokenDemand(
    public val promptTokens: Int,
    public val maxOutputTokens: Int,
    public val parts: List<PromptPart>,
) {
    /** The name of the longest part that other requests share, or null where there is none. */
    public val sharedPart: String? = parts.dropLast(1).lastOrNull()?.id

    /** Tokens of the parts that other requests share. */
    public val sharedTokens: Int = parts.dropLast(1).sumOf { it.tokens }

    /** Tokens of work, an output token counted twice, as the operator counts a workspace's share. */
    public val workTokens: Double get() = promptTokens + OUTPUT_TOKEN_WEIGHT * maxOutputTokens

    private companion object {
        /** Work of one output token in prompt tokens, as the operator's figure for the engines' throughput counts it. */
        const val OUTPUT_TOKEN_WEIGHT = 2.0
    }
}
