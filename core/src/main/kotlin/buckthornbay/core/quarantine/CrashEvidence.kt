package buckthornbay.core.quarantine

/**
 * A prompt part of a request that an upstream had not begun to answer when it crashed.
 *
 * @property position position of the part in the prompt, from 0; parts that come later are more specific.
 * @property sentAtMillis time at which the latest such request was sent, in milliseconds.
 * @property isInferred whether this is known from a [PartFilter] only, which may be wrong.
 */
public data class Suspect(
    public val part: String,
    public val position: Int,
    public val sentAtMillis: Long,
    public val isInferred: Boolean = false,
) {
    /** Returns whether this says no more than [known] about the same part. */
    internal fun isCoveredBy(known: Suspect): Boolean = known.sentAtMillis >= sentAtMillis && (isInferred || !known.isInferred)
}

/**
 * A part that explains crashes.
 *
 * @property rounds number of crashes that followed each other, see [blame].
 * @property first the first of these crashes.
 */
internal data class Blame(val part: String, val position: Int, val rounds: Int, val first: Crash)

/** What a host knows about the parts of answered requests. */
internal interface PartHistory {
    /** Returns the time at which a request with [part] was last answered, in milliseconds; null if that is not known. */
    fun answeredAtMillis(part: String): Long?

    /** Returns whether a request with [part] was answered at any time; a few parts that never were count as answered. */
    fun wasAnswered(part: String): Boolean

    /** Returns the number of rounds for which [part] is blamed. */
    fun minRounds(part: String): Int
}

/**
 * Returns the parts that explain [crashes], the most frequent first.
 *
 * Crashes within [JOINT_CRASH_MILLIS] count as one round: upstreams that crash together probably have another common reason. A
 * round speaks against a part if requests with it were unanswered at half or more of the upstreams, one of them was sent after
 * the previous round, and none has been answered since the first one. A crash that one part explains does not count against the
 * other parts that were involved in it. Of parts that explain the same crashes, one that was never answered is blamed first, then
 * the most specific one.
 *
 * A crash whose list of suspects was cut short speaks against no part that was ever answered: the cause may be a part that is
 * missing from the list. Of the rounds that only inferred suspects speak for, one counts.
 */
internal fun blame(crashes: Collection<Crash>, history: PartHistory): List<Blame> {
    val blamed = ArrayList<Blame>()
    var unexplained = crashes.sortedBy { it.atMillis }
    while (unexplained.isNotEmpty()) {
        val rounds = roundsOf(unexplained)
        val crashesByPart = unexplained.flatMap { it.suspects }.groupingBy { it.part }.eachCount()
        val parts = crashesByPart.filter { (part, count) -> count >= history.minRounds(part) }.keys
        val next = parts.mapNotNull { blameOf(it, rounds, history) }
            .filter { it.rounds >= history.minRounds(it.part) }
            .maxWithOrNull(compareBy({ it.rounds }, { !history.wasAnswered(it.part) }, { it.position }, { it.part })) ?: break
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
internal fun blameOf(part: String, rounds: List<List<Crash>>, history: PartHistory): Blame? {
    val evidence = PartEvidence(part, history)
    rounds.forEach(evidence::add)
    return evidence.blame
}

/** What the rounds of crashes so far say about [part]. */
private class PartEvidence(private val part: String, history: PartHistory) {
    private val wasAnswered = history.wasAnswered(part)
    private var lastAtMillis = history.answeredAtMillis(part) ?: Long.MIN_VALUE
    private var hasInferredRound = false

    var blame: Blame? = null
        private set

    fun add(round: List<Crash>) {
        val involved = round.filter(::counts)
        if (involved.isEmpty() || involved.size * 2 < round.size) return
        val suspects = involved.mapNotNull { it.suspect(part) }
        val isInferred = suspects.all { it.isInferred }
        val isNew = blame == null || suspects.any { it.sentAtMillis > lastAtMillis }
        if (!isNew || (isInferred && hasInferredRound)) return
        hasInferredRound = hasInferredRound || isInferred
        val known = blame
        blame = Blame(part, suspects.last().position, rounds = (known?.rounds ?: 0) + 1, known?.first ?: involved.first())
        lastAtMillis = involved.last().atMillis
    }

    private fun counts(crash: Crash): Boolean =
        crash.suspect(part) != null && crash.atMillis > lastAtMillis && !(wasAnswered && crash.isCut)
}

/** Time within which crashes count as one round, in milliseconds; hosts notice what a power failure ended within it. */
private const val JOINT_CRASH_MILLIS = 250L
