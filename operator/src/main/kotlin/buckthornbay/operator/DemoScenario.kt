package buckthornbay.operator

import buckthornbay.protocol.DesiredState

private const val LONG_RATE = 12.0
private const val SHORT_RATE = 20.0
private const val CREST_RATE = 5.0
private const val PLAIN_RATE = 100.0
private const val CREST_FACTOR = 10.0
private const val CREST_FROM_PART = 0.75
private const val CREST_PART = 0.125

/** Enough that backlogged long work never keeps the other flows' requests from being sent. */
private const val MAX_IN_PROGRESS = 5_000

/** Returns mixed load for the workspaces of [state]: backlogged long work, short lookups, plain calls and charges. */
internal fun demoScenario(state: DesiredState, seconds: Int): LoadScenario = LoadScenario(
    durationSeconds = seconds,
    maxInProgress = MAX_IN_PROGRESS,
    flows = modelFlows(state, seconds) + plainFlows(state),
)

private fun modelFlows(state: DesiredState, seconds: Int): List<LoadFlow> {
    val model = state.upstreams.firstNotNullOf { it.models.firstOrNull() }
    val service = state.services.first { service -> state.upstreams.any { it.service == service.id && it.models.isNotEmpty() } }
    val long = service.classes.firstOrNull { it.long }?.id
    val crest = flow(state, "crest", rank = 4, CREST_RATE).copy(
        crestFactor = CREST_FACTOR,
        crestFromSecond = (seconds * CREST_FROM_PART).toInt(),
        crestSeconds = (seconds * CREST_PART).toInt(),
    )
    val flows = listOf(
        flow(state, "long 1", rank = 0, LONG_RATE).copy(latencyClass = long, minTokens = 200, maxTokens = 600, pinnedPart = 0.9),
        flow(state, "long 2", rank = 1, LONG_RATE).copy(latencyClass = long, minTokens = 200, maxTokens = 600),
        flow(state, "lookups", rank = 3, SHORT_RATE),
        crest,
    )
    return flows.map { it.copy(model = model) }
}

private fun plainFlows(state: DesiredState): List<LoadFlow> {
    val service = state.services.first { it.pathPrefix != null }
    val unrepeatable = service.unrepeatable.first()
    return listOf(
        flow(state, "plain reads", rank = 5, PLAIN_RATE).copy(path = "${service.pathPrefix}/entries"),
        flow(state, "unrepeatable", rank = 2, SHORT_RATE).copy(
            method = unrepeatable.substringBefore(' '),
            path = unrepeatable.substringAfter(' '),
            unrepeatable = true,
        ),
    )
}

/** Returns a flow of the workspace with the [rank]th largest share, whose demo key is 'demo-' and its id. */
private fun flow(state: DesiredState, name: String, rank: Int, ratePerSecond: Double): LoadFlow {
    val workspace = state.workspaces.sortedByDescending { it.share }[rank].id
    return LoadFlow(name, "demo-$workspace", ratePerSecond = ratePerSecond)
}
