package buckthornbay.core.quarantine

import org.apache.commons.collections4.bloomfilter.Shape

/**
 * How much a suspect of a crash may tell; of more suspects than a crash can list, the last of these ranks are listed first.
 *
 * Only a part that comes again explains several crashes, and a part that was answered is probably sound.
 */
internal enum class SuspectRank(val isRecurring: Boolean) {
    ANSWERED(isRecurring = false),
    NEVER_ANSWERED(isRecurring = false),
    RECURRING(isRecurring = true),
    RECURRING_NEVER_ANSWERED(isRecurring = true),
    ;

    companion object {
        fun of(isRecurring: Boolean, wasAnswered: Boolean): SuspectRank = when {
            isRecurring -> if (wasAnswered) RECURRING else RECURRING_NEVER_ANSWERED
            else -> if (wasAnswered) ANSWERED else NEVER_ANSWERED
        }
    }
}

/**
 * The crash of one incarnation of an upstream.
 *
 * Requests in progress may have any number of parts. The crash lists up to [maxSuspects] of them and keeps the others in a
 * filter, so that a part that comes again in a later crash is found.
 *
 * @property upstream identity of the incarnation.
 */
internal class Crash(val upstream: String, val atMillis: Long, private val maxSuspects: Int) {
    private val listed = HashMap<String, Suspect>()
    private val partsByRank = SuspectRank.entries.associateWith { LinkedHashSet<String>() }
    private val rankByPart = HashMap<String, SuspectRank>()
    private var others: PartFilter? = null
    private var otherHostsCut = false
    private var encoded: String? = null
    private var lastMerged: String? = null

    /** The listed suspects, in no particular order. */
    val suspects: Collection<Suspect> get() = listed.values

    /** Whether there are suspects that are not listed. */
    val hasOthers: Boolean get() = others != null

    /** Whether recurring parts are missing that can't be found again, so that the cause may be one of them. */
    var isCut = false
        get() = field || otherHostsCut || others?.isSaturated == true
        private set

    fun suspect(part: String): Suspect? = listed[part]

    /** Returns the listed suspects, the most telling first; [countOf] tells how often a part recurs. */
    fun mostTelling(countOf: (String) -> Int): Sequence<Suspect> = SuspectRank.entries.reversed().asSequence().flatMap { rank ->
        val parts = partsByRank.getValue(rank)
        (if (rank.isRecurring) parts.sortedByDescending(countOf) else parts).asSequence().map(listed::getValue)
    }

    /** Sets the rank of [part] if it is listed. */
    fun setRankIfListed(part: String, rank: SuspectRank) {
        if (part in listed) setRank(part, rank)
    }

    /** Returns whether [part] with the hash [hash] is a suspect that is not listed; this is wrong for a few parts. */
    fun mayHaveUnlisted(part: String, hash: () -> PartHash): Boolean =
        others?.let { part !in listed && !it.isSaturated && hash() in it } == true

    /**
     * Lists [suspect], or keeps it in the filter if there is no room for its [rank].
     *
     * Returns the listed suspect that had to make room, if any.
     */
    fun add(suspect: Suspect, rank: SuspectRank): Suspect? {
        val known = listed[suspect.part]
        if (known != null) {
            listed[suspect.part] = suspect.copy(
                sentAtMillis = maxOf(known.sentAtMillis, suspect.sentAtMillis),
                isInferred = known.isInferred && suspect.isInferred,
            )
            setRank(suspect.part, rank)
            return null
        }
        var removed: Suspect? = null
        if (listed.size >= maxSuspects) {
            val lowest = lowestBelow(rank)
            leaveOut(lowest ?: suspect.part, lowest?.let(rankByPart::get) ?: rank)
            removed = listed.remove(lowest ?: return null)
            rankByPart.remove(lowest)?.let { partsByRank.getValue(it).remove(lowest) }
        }
        encoded = null
        listed[suspect.part] = suspect
        setRank(suspect.part, rank)
        return removed
    }

    /** Records that there were further suspects that nobody recorded. */
    fun cut() {
        isCut = true
    }

    private fun lowestBelow(rank: SuspectRank): String? =
        SuspectRank.entries.filter { it < rank }.firstNotNullOfOrNull { partsByRank.getValue(it).firstOrNull() }

    private fun setRank(part: String, rank: SuspectRank) {
        val known = rankByPart.put(part, rank)
        if (known == rank) return
        known?.let { partsByRank.getValue(it).remove(part) }
        partsByRank.getValue(rank).add(part)
    }

    private fun leaveOut(part: String, rank: SuspectRank) {
        val filter = others ?: PartFilter(SHAPE).also { others = it }
        filter.add(PartHash.of(part))
        encoded = null
        if (rank.isRecurring) isCut = true
    }

    /** Returns the filter of all suspects, for peers that can't be told the whole list. */
    fun encodeAll(): String = encoded ?: run {
        val all = others?.copy() ?: PartFilter(SHAPE)
        listed.keys.forEach { all.add(PartHash.of(it)) }
        CODEC.encode(all).also { encoded = it }
    }

    /**
     * Adds what a peer knows: a filter that [encodeAll] made, and whether its list was cut. Returns whether the filter has
     * further parts.
     */
    fun mergeOthers(filter: String?, isCut: Boolean): Boolean {
        otherHostsCut = otherHostsCut || isCut
        if (filter == null || filter == lastMerged) return false
        lastMerged = filter
        val decoded = CODEC.decode(filter) ?: return false
        encoded = null
        val known = others
        if (known == null) others = decoded
        return known == null || known.addAll(decoded)
    }

    private companion object {
        /** 8 KB, of which half of the bits are set after 15,000 parts: some hundred requests with a hundred parts each. */
        val SHAPE: Shape = Shape.fromKM(3, 65_536)
        val CODEC = PartFilterCodec(SHAPE)
    }
}
