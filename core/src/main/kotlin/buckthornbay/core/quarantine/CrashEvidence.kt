package buckthornbay.core.quarantine

/**
 * A prompt part of a request that an upstream had not begun to answer when it crashed.
 *
 * @property position position of the part in the prompt, from 0; parts that come later are more specific.
 * @property sentAtMillis time at which the latest such request was sent, in milliseconds.
 */
public data class Suspect(public val part: String, public val position: Int, public val sentAtMillis: Long)

/**
 * The crash of one incarnation of an upstream.
 *
 * @property upstream identity of the incarnation.
 */
internal class Crash(val upstream: String, val atMillis: Long) {
    private val byPart = LinkedHashMap<String, Suspect>()

    val suspects: Collection<Suspect> get() = byPart.values

    /** Adds [suspects] that are not known yet; returns whether there were any. */
    fun add(suspects: List<Suspect>): Boolean {
        val sizeBefore = byPart.size
        for (suspect in suspects) {
            if (byPart.size >= MAX_SUSPECTS) break
            byPart.merge(suspect.part, suspect) { old, new -> if (new.sentAtMillis > old.sentAtMillis) new else old }
        }
        return byPart.size > sizeBefore
    }

    fun suspect(part: String): Suspect? = byPart[part]

    private companion object {
        /** Maximum number of parts recorded for a crash; an engine has some hundred requests with a few parts each. */
        const val MAX_SUSPECTS = 4_096
    }
}

/**
 * A part that explains crashes.
 *
 * @property rounds number of crashes that followed each other, see [blame].
 * @property first the first of these crashes.
 */
internal data class Blame(val part: String, val position: Int, val rounds: Int, val first: Crash)

/**
 * Returns the parts that explain [crashes], the most frequent first.
 *
 * A part is blamed for at least [minRounds] crashes, each of which ended a request with the part that was sent after the
 * previous one, while none of its requests has been answered since the first. Upstreams that crash at the same time for another
 * reason thus count once, whatever they were processing. A crash that one part explains does not count against the other parts
 * that were involved in it. Of parts that explain the same crashes, one that was never answered is blamed first, then the most
 * specific one.
 *
 * @param answeredAtMillis time at which a request with a part was last answered, in milliseconds; null if it never was.
 */
internal fun blame(crashes: Collection<Crash>, minRounds: Int, answeredAtMillis: (String) -> Long?): List<Blame> {
    val blamed = ArrayList<Blame>()
    var unexplained = crashes.sortedBy { it.atMillis }
    while (unexplained.size >= minRounds) {
        val parts = unexplained.flatMap { it.suspects }.groupingBy { it.part }.eachCount().filterValues { it >= minRounds }.keys
        val next = parts.mapNotNull { blameOf(it, unexplained, answeredAtMillis(it)) }
            .filter { it.rounds >= minRounds }
            .maxWithOrNull(compareBy({ it.rounds }, { answeredAtMillis(it.part) == null }, { it.position }, { it.part })) ?: break
        blamed += next
        unexplained = unexplained.filter { it.suspect(next.part) == null }
    }
    return blamed
}

/** Returns what speaks against [part], given [crashes] in order of time; null if nothing does. */
internal fun blameOf(part: String, crashes: List<Crash>, answeredAtMillis: Long?): Blame? {
    var rounds = 0
    var position = 0
    var first: Crash? = null
    var lastAtMillis = answeredAtMillis ?: Long.MIN_VALUE
    for (crash in crashes) {
        val suspect = crash.suspect(part) ?: continue
        if (crash.atMillis <= lastAtMillis || (first != null && suspect.sentAtMillis <= lastAtMillis)) continue
        if (first == null) first = crash
        rounds++
        position = suspect.position
        lastAtMillis = crash.atMillis
    }
    return first?.let { Blame(part, position, rounds, it) }
}
