package buckthornbay.core.admission

/** The operator's rule: six seconds in a row, less three of the largest requests. */
private const val WINDOW_SECONDS = 6
private const val LARGE_REQUESTS = 3

/**
 * Returns the windows, from second [from] until second [until], in which a workspace was held back in each second and got less
 * than half of what it asked for, or of what the best served workspace got, whichever is less.
 */
fun unfairWindows(fleet: SimulatedFleet, from: Int, until: Int): List<String> = (from..until - WINDOW_SECONDS).flatMap { start ->
    val window = start until start + WINDOW_SECONDS
    val bestBySecond = window.map { second -> fleet.service.maxOf { it[second].begunTokens } }
    fleet.service.mapIndexedNotNull { workspace, service ->
        val own = window.map { service[it] }
        val owed = own.zip(bestBySecond) { second, best -> minOf(second.askedTokens, best) }.sum()
        val got = own.sumOf { it.begunTokens }
        val short = got < owed / 2 - LARGE_REQUESTS * fleet.largestRequestTokens
        if (short && own.all { it.heldBack }) {
            "from $start s: workspace $workspace asked for ${own.sumOf { it.askedTokens }.toLong()}, " +
                "got ${got.toLong()} of ${owed.toLong()}, the best served got ${bestBySecond.sum().toLong()}"
        } else {
            null
        }
    }
}
