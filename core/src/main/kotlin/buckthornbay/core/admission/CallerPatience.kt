package buckthornbay.core.admission

/**
 * Tells how long a caller has waited already, from the time that it has left.
 *
 * It answers callers that were turned away under load and come back: their objective began with their first attempt, so a
 * place given to one that is late already is taken from one that can still be served in time. Callers of a route start with
 * the same time limit; one that has less left has spent the difference.
 */
public class CallerPatience {
    private val longestMillis = HashMap<String, Long>()

    /** Notes that a caller of [route] has [leftMillis] left, and returns how long it has waited before, in milliseconds. */
    public fun waitedMillis(route: String, leftMillis: Long): Long {
        val longest = maxOf(longestMillis[route] ?: 0, leftMillis)
        longestMillis[route] = longest
        return longest - leftMillis
    }
}
