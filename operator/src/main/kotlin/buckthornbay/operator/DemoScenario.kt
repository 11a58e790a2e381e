package buckthornbay.operator

import buckthornbay.protocol.DesiredState

private const val LONG_RATE = 12.0
private const val SHORT_RATE = 20.0
private const val PEAK_FLOW_RATE = 5.0
private const val PLAIN_RATE = 100.0
private const val PEAK_FACTOR = 10.0
private const val PEAK_START_FRACTION = 0.75
private const val PEAK_DURATION_FRACTION = 0.125

/** High enough that backlogged long requests never delay the sending of other flows. */
private const val MAX_IN_PROGRESS = 5_000

/** Returns a mixed load for the workspaces of [state]: backlogged long requests, short lookups, plain reads and charges. */
internal fun demoScenario(state: DesiredState, seconds: Int): LoadScenario = LoadScenario(
    durationSeconds = seconds,
    maxInProgress = MAX_IN_PROGRESS,
    flows = modelFlows(state, seconds) + plainFlows(state),
)

private fun modelFlows(state: DesiredState, seconds: Int): List<LoadFlow> {
    val model = state.upstreams.firstNotNullOf { it.models.firstOrNull() }
    val service = state.services.first { service -> state.upstreams.any { it.service == service.id && it.models.isNotEmpty() } }
    val long = service.classes.firstOrNull { it.long }?.id
    val peakFlow = flow(state, "crest", shareRank = 4, PEAK_FLOW_RATE).copy(
        peakFactor = PEAK_FACTOR,
        peakFromSecond = (seconds * PEAK_START_FRACTION).toInt(),
        peakSeconds = (seconds * PEAK_DURATION_FRACTION).toInt(),
    )
    val flows = listOf(
        flow(state, "long 1", shareRank = 0, LONG_RATE)
            .copy(latencyClass = long, minTokens = 200, maxTokens = 600, pinnedFraction = 0.9),
        flow(state, "long 2", shareRank = 1, LONG_RATE).copy(latencyClass = long, minTokens = 200, maxTokens = 600),
        flow(state, "lookups", shareRank = 3, SHORT_RATE),
        peakFlow,
    )
    return flows.map { it.copy(model = model) }
}

private fun plainFlows(state: DesiredState): List<LoadFlow> {
    val service = state.services.first { it.pathPrefix != null }
    val nonIdempotentCall = service.unrepeatable.first()
    return listOf(
        flow(state, "plain reads", shareRank = 5, PLAIN_RATE).copy(path = "${service.pathPrefix}/entries"),
        flow(state, "unrepeatable", shareRank = 2, SHORT_RATE).copy(
            method = nonIdempotentCall.substringBefore(' '),
            path = nonIdempotentCall.substringAfter(' '),
            nonIdempotent = true,
        ),
    )
}

/** Returns a flow of the workspace at index [shareRank] by descending share; its demo key is `demo-` followed by its id. */
private fun flow(state: DesiredState, name: String, shareRank: Int, ratePerSecond: Double): LoadFlow {
    val workspace = state.workspaces.sortedByDescending { it.share }[shareRank].id
    return LoadFlow(name, "demo-$workspace", ratePerSecond = ratePerSecond)
}
