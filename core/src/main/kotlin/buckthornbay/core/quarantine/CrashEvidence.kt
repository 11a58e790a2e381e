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
 * Crashes within [JOINT_CRASH_MILLIS] count as one round: upstreams that crash together probably have another common reason. A
 * round speaks against a part if requests with it were unanswered at half or more of the upstreams, one of them was sent after
 * the previous round, and none has been answered since the first one. A crash that one part explains does not count against the
 * other parts that were involved in it. Of parts that explain the same crashes, one that was never answered is blamed first, then
 * the most specific one.
 *
 * @param minRounds number of rounds for which a part is blamed, by part.
 * @param answeredAtMillis time at which a request with a part was last answered, in milliseconds; null if it never was.
 */
internal fun blame(crashes: Collection<Crash>, minRounds: (String) -> Int, answeredAtMillis: (String) -> Long?): List<Blame> {
    val blamed = ArrayList<Blame>()
    var unexplained = crashes.sortedBy { it.atMillis }
    while (unexplained.isNotEmpty()) {
        val rounds = roundsOf(unexplained)
        val crashesByPart = unexplained.flatMap { it.suspects }.groupingBy { it.part }.eachCount()
        val parts = crashesByPart.filter { (part, count) -> count >= minRounds(part) }.keys
        val next = parts.mapNotNull { blameOf(it, rounds, answeredAtMillis(it)) }
            .filter { it.rounds >= minRounds(it.part) }
            .maxWithOrNull(compareBy({ it.rounds }, { answeredAtMillis(it.part) == null }, { it.position }, { it.part })) ?: break
        blamed += next
        unexplained = unexplained.filter { it.suspect(next.part) == null }
    }
    return blamed
}

/** Groups [crashes], which are in order of time, into rounds. */
internal fun roundsOf(crashes: List<Crash>): List<List<Crash>> {
    val rounds = ArrayList<MutableList<Crash>>()
    for (crash in crashes) {
        val current = rounds.lastOrNull()?.takeIf { crash.atMillis - it.first().atMillis < JOINT_CRASH_MILLIS }
        if (current == null) rounds += mutableListOf(crash) else current += crash
    }
    return rounds
}

/** Returns what speaks against [part], given [rounds] in order of time; null if nothing does. */
internal fun blameOf(part: String, rounds: List<List<Crash>>, answeredAtMillis: Long?): Blame? {
    var count = 0
    var position = 0
    var first: Crash? = null
    var lastAtMillis = answeredAtMillis ?: Long.MIN_VALUE
    for (round in rounds) {
        val involved = round.filter { it.suspect(part) != null && it.atMillis > lastAtMillis }
        if (involved.isEmpty() || involved.size * 2 < round.size) continue
        val suspects = involved.mapNotNull { it.suspect(part) }
        if (first != null && suspects.none { it.sentAtMillis > lastAtMillis }) continue
        if (first == null) first = involved.first()
        count++
        position = suspects.last().position
        lastAtMillis = involved.last().atMillis
    }
    return first?.let { Blame(part, position, count, it) }
}

/** Time within which crashes count as one round, in milliseconds; hosts notice what a power failure ended within it. */
private const val JOINT_CRASH_MILLIS = 250L
