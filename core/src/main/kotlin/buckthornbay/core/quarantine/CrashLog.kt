package buckthornbay.core.quarantine

/**
 * The recent crashes of upstreams, and which prompt parts were in progress at more than one of them.
 *
 * Memory is bounded whatever callers send: crashes together list [maxSuspects] parts, and the oldest crash is dropped beyond.
 *
 * @param maxCrashes maximum number of crashes that are kept.
 * @param maxSuspectsPerCrash maximum number of suspects that a crash lists.
 * @param wasAnswered whether a request with a part was ever answered.
 */
internal class CrashLog(
    private val maxCrashes: Int,
    private val maxSuspects: Int,
    private val maxSuspectsPerCrash: Int,
    private val wasAnswered: (String) -> Boolean,
) {
    private val byUpstream = LinkedHashMap<String, Crash>()

    /** Number of crashes that list a part. */
    private val listings = HashMap<String, Int>()
    private var listedCount = 0

    /** All crashes, in the order in which this host learned of them. */
    val crashes: Collection<Crash> get() = byUpstream.values

    /** Returns the number of crashes that list [part] as a suspect. */
    fun countOf(part: String): Int = listings[part] ?: 0

    /** Returns the crash of [upstream], which is added if it is new. */
    fun crashOf(upstream: String, atMillis: Long): Crash {
        val crash = byUpstream.getOrPut(upstream) { Crash(upstream, atMillis, maxSuspectsPerCrash) }
        while (byUpstream.size > maxCrashes) drop(byUpstream.values.first())
        return crash
    }

    /** Adds [suspects] to [crash]; returns whether they tell anything new. */
    fun addSuspects(crash: Crash, suspects: Iterable<Suspect>): Boolean {
        var isNew = false
        var count = 0
        for (suspect in suspects) {
            if (crash.suspect(suspect.part)?.let(suspect::isCoveredBy) == true) continue
            if (count++ == MAX_SUSPECTS_PER_REPORT) {
                crash.cut()
                break
            }
            isNew = list(crash, suspect) || isNew
        }
        while (listedCount > maxSuspects && byUpstream.size > 1) drop(byUpstream.values.first { it !== crash })
        return isNew
    }

    /** Adds what a peer knows of [crash] beyond a list, see [Crash.mergeOthers]; returns whether it tells anything new. */
    fun addOthers(crash: Crash, filter: String?, isCut: Boolean): Boolean {
        if (!crash.mergeOthers(filter, isCut)) return false
        var isNew = false
        for (part in listings.keys.toList()) {
            if (!crash.mayHaveUnlisted(part) { PartHash.of(part) }) continue
            val known = crashes.firstNotNullOfOrNull { it.suspect(part) } ?: continue
            isNew = list(crash, known.copy(sentAtMillis = crash.atMillis, isInferred = true)) || isNew
        }
        return isNew
    }

    /** Drops crashes before [millis]; returns whether there were any. */
    fun dropBefore(millis: Long): Boolean {
        val old = crashes.filter { it.atMillis < millis }
        old.forEach(::drop)
        return old.isNotEmpty()
    }

    private fun list(crash: Crash, suspect: Suspect): Boolean {
        val part = suspect.part
        val hash by lazy(LazyThreadSafetyMode.NONE) { PartHash.of(part) }
        val unlisted = crashes.filter { it !== crash && it.mayHaveUnlisted(part) { hash } }
        val countElsewhere = countOf(part) - if (crash.suspect(part) == null) 0 else 1
        val isRecurring = unlisted.isNotEmpty() || countElsewhere > 0
        val rank = SuspectRank.of(isRecurring, wasAnswered(part))
        // When such a request was sent is not known; it was in progress at the crash.
        unlisted.forEach { add(it, suspect.copy(sentAtMillis = it.atMillis, isInferred = true), rank) }
        if (countElsewhere > 0) crashes.forEach { it.setRankIfListed(part, rank) }
        return add(crash, suspect, rank)
    }

    private fun add(crash: Crash, suspect: Suspect, rank: SuspectRank): Boolean {
        val known = crash.suspect(suspect.part)
        crash.add(suspect, rank)?.let { uncount(it.part) }
        val added = crash.suspect(suspect.part)
        if (known == null && added != null) {
            listings.merge(suspect.part, 1, Int::plus)
            listedCount++
        }
        return added != known
    }

    private fun uncount(part: String) {
        listings.computeIfPresent(part) { _, count -> (count - 1).takeIf { it > 0 } }
        listedCount--
    }

    private fun drop(crash: Crash) {
        byUpstream.remove(crash.upstream)
        crash.suspects.forEach { uncount(it.part) }
    }

    private companion object {
        /** Number of parts after which the filter of a crash would tell nothing more; see [PartFilter.isSaturated]. */
        const val MAX_SUSPECTS_PER_REPORT = 16_384
    }
}
