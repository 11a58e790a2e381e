package buckthornbay.core.load

/** A part of a prompt that other requests may share; [id] identifies its content. */
public data class PromptPart(public val id: String, public val tokens: Int)

/**
 * The work that a request demands of a model engine.
 *
 * @property promptTokens length of the prompt in tokens; all of them are prefilled before the first output token.
 * @property maxOutputTokens maximum number of output tokens.
 * @property parts parts of the prompt's prefix in order; the last part is specific to this request.
 */
public data class TokenDemand(
    public val promptTokens: Int,
    public val maxOutputTokens: Int,
    public val parts: List<PromptPart>,
) {
    /** The parts that other requests may share, in order. */
    public val sharedParts: List<PromptPart> = parts.dropLast(1)

    /** Id of the last part that other requests share, or null if there is none. */
    public val sharedPart: String? = sharedParts.lastOrNull()?.id

    /** Length of the shared prefix in tokens. */
    public val sharedTokens: Int = sharedParts.sumOf { it.tokens }

    /** Work in tokens, as counted for a workspace's fair share: an output token counts as two prompt tokens. */
    public val workTokens: Double get() = promptTokens + OUTPUT_TOKEN_WEIGHT * maxOutputTokens

    private companion object {
        /** Cost of an output token in prompt tokens; the operator's figure for engine throughput uses the same weight. */
        const val OUTPUT_TOKEN_WEIGHT = 2.0
    }
}
