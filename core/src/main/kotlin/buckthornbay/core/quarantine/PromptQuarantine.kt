package buckthornbay.core.quarantine

import buckthornbay.core.LruMap
import buckthornbay.core.load.TokenDemand

/** A change of the quarantine, for logs. */
public sealed interface QuarantineChange {
    public val part: String

    /** Requests with [part] are refused from now on; [upstreams] are the crashed ones that this host knows of. */
    public data class Quarantined(override val part: String, public val upstreams: List<String>) : QuarantineChange

    /** Requests with [part] are accepted again. */
    public data class Released(override val part: String, public val reason: String) : QuarantineChange
}

/** Whether a request may be sent, as far as its prompt parts are concerned. */
public sealed interface QuarantineVerdict {
    /** The request has no quarantined part. */
    public data object Accepted : QuarantineVerdict

    /** The request is sent to find out whether upstreams still crash under its quarantined parts. */
    public data object Trial : QuarantineVerdict

    /** The request is refused because of [part], which may be tried again in [retryAfterMillis] milliseconds. */
    public data class Refused(public val part: String, public val retryAfterMillis: Long) : QuarantineVerdict
}

/**
 * The prompt parts under which upstreams crash, as known to this host.
 *
 * A part of a prompt can crash every upstream that begins to answer a request with it. Callers go on sending it, at any host, and
 * each request takes with it whatever else the upstream was processing. So hosts share which parts were involved in crashes and
 * refuse requests with a part that explains several of them.
 *
 * A part is released by an answer to a request with it. When its hold time is over, one host of the fleet sends one request as a
 * trial; if the upstream crashes again, the hold time doubles.
 *
 * Crashes and proofs are passed on while they are recent, quarantined parts always.
 */
public class PromptQuarantine(private val settings: QuarantineSettings = QuarantineSettings()) {
    private class Proof(val id: String, val atMillis: Long)

    /**
     * A quarantined part.
     *
     * @property sinceMillis time of the first crash that the part is blamed for; a later answer releases it.
     * @property heldUntilMillis time from which a trial is allowed.
     */
    private class Entry(val firstCrash: String, val sinceMillis: Long, val heldUntilMillis: Long, val holdMillis: Long) {
        var trialAtMillis: Long? = null
    }

    /** Latest answers, which are kept for the time that a crash needs to become known. */
    private val recentProofs = LruMap<String, Proof>(settings.maxRecentProofs)

    /** Latest answers to requests with the parts that are suspected or quarantined; other parts don't push them out. */
    private val proofs = HashMap<String, Proof>()
    private val answeredParts = AnsweredParts()
    private val history = object : PartHistory {
        override fun answeredAtMillis(part: String): Long? = proofOf(part)?.atMillis

        override fun wasAnswered(part: String): Boolean = proofOf(part) != null || part in answeredParts

        override fun minRounds(part: String): Int = if (wasAnswered(part)) settings.minRoundsAfterAnswer else settings.minRounds
    }
    private val crashLog =
        CrashLog(settings.maxCrashes, settings.maxSuspects, settings.maxSuspectsPerCrash, history::wasAnswered)
    private val quarantined = LinkedHashMap<String, Entry>()

    /** Answered parts that a peer suspects without a proof, each with the time until which peers are told, in milliseconds. */
    private val unprovenAtPeers = LruMap<String, Long>(settings.maxRelayedSuspects)

    /** Quarantined parts, each with the time of the first crash that it is blamed for, in milliseconds. */
    public val sinceMillisByPart: Map<String, Long> get() = quarantined.mapValues { it.value.sinceMillis }

    /** Records that request [id] with [demand] was answered, which proves that its parts crash no upstream. */
    public fun recordAnswered(nowMillis: Long, id: String, demand: TokenDemand): List<QuarantineChange> {
        val proof = Proof(id, nowMillis)
        for (part in partsOf(demand)) {
            recentProofs[part] = proof
            answeredParts.add(part)
            if (isRelevant(part)) proofs[part] = proof
        }
        return if (partsOf(demand).any { it in quarantined }) releaseProven() else emptyList()
    }

    /** Records that the incarnation [upstream] crashed; [suspects] are parts of requests that it had not begun to answer. */
    public fun recordCrash(nowMillis: Long, upstream: String, suspects: Iterable<Suspect>): List<QuarantineChange> =
        if (addSuspects(crashLog.crashOf(upstream, nowMillis), suspects)) update(nowMillis) else emptyList()

    /**
     * Decides whether a request with [demand] may be sent.
     *
     * @param isTrialHost whether this host is the one that tries a part again.
     */
    public fun verdict(nowMillis: Long, demand: TokenDemand, isTrialHost: (String) -> Boolean): QuarantineVerdict {
        if (quarantined.isEmpty()) return QuarantineVerdict.Accepted
        val involved = partsOf(demand).mapNotNull { part -> quarantined[part]?.let { part to it } }
        if (involved.isEmpty()) return QuarantineVerdict.Accepted
        val blocking = involved.firstOrNull { (part, entry) -> !isTrialDue(nowMillis, entry) || !isTrialHost(part) }
        if (blocking != null) {
            val retryAfterMillis = blocking.second.heldUntilMillis - nowMillis
            return QuarantineVerdict.Refused(blocking.first, retryAfterMillis.coerceAtLeast(settings.trialMillis))
        }
        involved.forEach { (_, entry) -> entry.trialAtMillis = nowMillis }
        return QuarantineVerdict.Trial
    }

    /** Returns the first quarantined part of [demand], or null if there is none. */
    public fun quarantinedPart(demand: TokenDemand): String? =
        if (quarantined.isEmpty()) null else partsOf(demand).firstOrNull { it in quarantined }

    /** Returns whether a failed request with [demand] must not be repeated, because it may crash the next upstream as well. */
    public fun isSuspected(demand: TokenDemand): Boolean {
        if (crashLog.crashes.isEmpty()) return quarantinedPart(demand) != null
        val rounds by lazy(LazyThreadSafetyMode.NONE) { roundsOf(crashLog.crashes.sortedBy { it.atMillis }) }
        return partsOf(demand).any { part ->
            val minRounds = history.minRounds(part) - 1
            part in quarantined ||
                (crashLog.countOf(part) >= minRounds && (blameOf(part, rounds, history)?.rounds ?: 0) >= minRounds)
        }
    }

    /** Quarantines [parts] that other hosts, or this one before a restart, have stored as quarantined. */
    public fun restore(nowMillis: Long, parts: List<String>): List<QuarantineChange> = parts
        .filter { it !in quarantined && proofOf(it) == null }
        .map { part ->
            // Nothing is known of the crashes. They count as old, so that any answer that a host knows of releases the part.
            val sinceMillis = nowMillis - settings.evidenceMillis
            quarantined[part] = Entry(RESTORED, sinceMillis, nowMillis + settings.holdMillis, settings.holdMillis)
            QuarantineChange.Quarantined(part, upstreams = emptyList())
        }

    /** Drops what is too old to matter. */
    public fun expire(nowMillis: Long) {
        val dropped = crashLog.dropBefore(nowMillis - settings.evidenceMillis)
        if (dropped) proofs.keys.removeIf { !isRelevant(it) }
    }

    /** Returns what a peer needs to know. */
    public fun news(nowMillis: Long): QuarantineNews {
        if (crashLog.crashes.isEmpty() && quarantined.isEmpty()) return QuarantineNews()
        val recent = crashLog.crashes.filter {
            nowMillis - it.atMillis <= settings.relayMillis
        }.takeLast(settings.maxRelayedCrashes)
        val crashNews = recent.mapIndexed { index, crash ->
            val mayAddFilter = recent.size - index <= settings.maxRelayedFilters
            crashNews(nowMillis, crash, settings.maxRelayedSuspects / recent.size, mayAddFilter)
        }
        val unproven = unprovenAtPeers.filterValues { it >= nowMillis }.keys
        val parts = crashNews.flatMap { crash -> crash.suspects.map { it.part } }.toSet() + quarantined.keys + unproven
        return QuarantineNews(
            crashes = crashNews,
            answered = parts.mapNotNull { part ->
                proofs[part]?.let { AnsweredNews(part, it.id, nowMillis - it.atMillis) }
            },
            quarantined = quarantined.map { (part, entry) ->
                val heldMillis = entry.heldUntilMillis - nowMillis
                QuarantinedNews(part, entry.firstCrash, nowMillis - entry.sinceMillis, heldMillis, entry.holdMillis)
            },
        )
    }

    /** Merges the [news] of a peer. */
    public fun merge(nowMillis: Long, news: QuarantineNews): List<QuarantineChange> {
        val newCrashes = news.crashes.count { mergeCrash(nowMillis, it) }
        news.answered.forEach { mergeProof(nowMillis, it) }
        recordUnproven(nowMillis, news)
        val changes = news.quarantined.mapNotNull { mergeQuarantined(nowMillis, it) }
        return changes + if (newCrashes > 0) update(nowMillis) else releaseProven()
    }

    private fun partsOf(demand: TokenDemand): List<String> = demand.sharedParts.map { it.id }

    private fun isTrialDue(nowMillis: Long, entry: Entry): Boolean {
        val trialAtMillis = entry.trialAtMillis
        return nowMillis >= entry.heldUntilMillis && (trialAtMillis == null || nowMillis - trialAtMillis >= settings.trialMillis)
    }

    private fun isRelevant(part: String) = part in quarantined || crashLog.countOf(part) > 0

    private fun proofOf(part: String): Proof? = proofs[part] ?: recentProofs[part]

    private fun mergeCrash(nowMillis: Long, news: CrashNews): Boolean {
        val crash = crashLog.crashOf(news.upstream, nowMillis - news.ageMillis)
        val suspects = news.suspects.map {
            // Relative to the crash, so that the time doesn't drift from host to host.
            Suspect(it.part, it.position, crash.atMillis + news.ageMillis - it.sentAgeMillis, it.isInferred)
        }
        val hasNewSuspects = addSuspects(crash, suspects)
        val hasNewOthers = crashLog.addOthers(crash, news.allParts, news.isCut)
        return hasNewSuspects || hasNewOthers
    }

    private fun addSuspects(crash: Crash, suspects: Iterable<Suspect>): Boolean {
        if (!crashLog.addSuspects(crash, suspects)) return false
        for (suspect in crash.suspects) {
            if (suspect.part !in proofs) recentProofs[suspect.part]?.let { proofs[suspect.part] = it }
        }
        return true
    }

    /**
     * Parts that may explain most crashes come first, so that made-up parts of one crash don't push out a real one. Whoever has
     * one of the others in a further crash finds it in the filter.
     */
    private fun crashNews(nowMillis: Long, crash: Crash, maxSuspects: Int, mayAddFilter: Boolean): CrashNews {
        val relayed = crash.mostTelling(crashLog::countOf).take(maxSuspects + 1).toList()
        val isPartial = crash.hasOthers || relayed.size > maxSuspects
        val firstLeftOut = relayed.getOrNull(maxSuspects)
        return CrashNews(
            upstream = crash.upstream,
            ageMillis = nowMillis - crash.atMillis,
            suspects = relayed.take(maxSuspects).map { suspect ->
                SuspectNews(suspect.part, suspect.position, nowMillis - suspect.sentAtMillis, suspect.isInferred)
            },
            allParts = if (isPartial && mayAddFilter) crash.encodeAll() else null,
            isCut = crash.isCut || (firstLeftOut != null && crashLog.countOf(firstLeftOut.part) >= settings.minRounds),
        )
    }

    private fun mergeProof(nowMillis: Long, news: AnsweredNews) {
        val known = proofs[news.part]
        val atMillis = nowMillis - news.ageMillis
        if (known != null && (known.id == news.proof || known.atMillis >= atMillis)) return
        if (isRelevant(news.part)) proofs[news.part] = Proof(news.proof, atMillis)
    }

    private fun recordUnproven(nowMillis: Long, news: QuarantineNews) {
        val proven = news.answered.mapTo(HashSet()) { it.part }
        val unproven = news.crashes.flatMap { it.suspects }.filter { it.part !in proven && it.part in proofs }
        unproven.forEach { unprovenAtPeers[it.part] = nowMillis + settings.relayMillis }
    }

    private fun mergeQuarantined(nowMillis: Long, news: QuarantinedNews): QuarantineChange? {
        val sinceMillis = nowMillis - news.ageMillis
        val known = quarantined[news.part]
        val isNewer = known == null || (known.firstCrash != news.firstCrash && known.sinceMillis < sinceMillis)
        if (!isNewer || (proofOf(news.part)?.atMillis ?: Long.MIN_VALUE) >= sinceMillis) return null
        quarantined[news.part] = Entry(news.firstCrash, sinceMillis, nowMillis + news.heldMillis, news.holdMillis)
        return if (known == null) QuarantineChange.Quarantined(news.part, crashesWith(news.part)) else null
    }

    /** Applies new crashes: renews holds, releases parts that are proven sound and quarantines those that are to blame. */
    private fun update(nowMillis: Long): List<QuarantineChange> {
        renewAfterFailedTrials(nowMillis)
        val changes = ArrayList(releaseProven())
        val blamed = blame(crashLog.crashes, history)
        for (blame in blamed.filter { it.part !in quarantined && quarantined.size < settings.maxQuarantined }) {
            val holdMillis = if (history.wasAnswered(blame.part)) settings.holdAfterAnswerMillis else settings.holdMillis
            quarantined[blame.part] = Entry(blame.first.upstream, blame.first.atMillis, nowMillis + holdMillis, holdMillis)
            changes += QuarantineChange.Quarantined(blame.part, crashesWith(blame.part))
        }
        return changes + releaseExplained(nowMillis, blamed)
    }

    private fun renewAfterFailedTrials(nowMillis: Long) = quarantined.entries.forEach { (part, entry) ->
        val crash =
            crashLog.crashes.lastOrNull { it.suspect(part) != null && it.atMillis > entry.heldUntilMillis } ?: return@forEach
        val holdMillis = (entry.holdMillis * 2).coerceAtMost(settings.maxHoldMillis)
        quarantined[part] = Entry(crash.upstream, crash.atMillis, nowMillis + holdMillis, holdMillis)
    }

    private fun releaseProven(): List<QuarantineChange> = quarantined
        .filter { (part, entry) -> (proofOf(part)?.atMillis ?: Long.MIN_VALUE) >= entry.sinceMillis }
        .map { (part, _) -> release(part, "a request with it was answered") }

    /** Releases the parts whose crashes are all explained by another part that was blamed since. */
    private fun releaseExplained(nowMillis: Long, blamed: List<Blame>): List<QuarantineChange> {
        val explaining = blamed.map { it.part }.toSet()
        val explained = quarantined.keys.filter { part ->
            val involved = crashLog.crashes.filter { it.suspect(part) != null }
            part !in explaining &&
                involved.size >= settings.minRounds &&
                involved.all { crash -> explaining.any { crash.suspect(it) != null } }
        }
        return explained.map { part ->
            proofs[part] = Proof("explained by ${explaining.first()}", nowMillis)
            release(part, "another part explains the crashes")
        }
    }

    private fun release(part: String, reason: String): QuarantineChange {
        quarantined.remove(part)
        return QuarantineChange.Released(part, reason)
    }

    private fun crashesWith(part: String): List<String> = crashLog.crashes.filter { it.suspect(part) != null }.map { it.upstream }

    private companion object {
        /** Stands for the unknown first crash of a restored part. */
        const val RESTORED = "restored"
    }
}

/**
 * Constants of [PromptQuarantine].
 *
 * @property minRounds number of successive crashes for which a part is quarantined: one may be chance, two the chance of a
 * request and its repetition.
 * @property minRoundsAfterAnswer the same for a part that is known to have been answered before: it probably was in progress at
 * the crashes by chance, and blocking it wrongly concerns many callers.
 * @property evidenceMillis how long a crash is kept as evidence, in milliseconds.
 * @property holdMillis time until the first trial of a quarantined part, in milliseconds; each trial may cost an upstream.
 * @property holdAfterAnswerMillis the same for a part that is known to have been answered before; if it is blamed wrongly, all
 * requests that would show so are refused until the trial.
 * @property maxHoldMillis upper bound of the hold time, which doubles with each failed trial, in milliseconds.
 * @property trialMillis time that a trial may take before the next one, in milliseconds.
 * @property relayMillis how long a crash is passed on to peers, in milliseconds; gossip reaches all hosts within two seconds.
 * @property maxRelayedCrashes maximum number of crashes in a message.
 * @property maxRelayedSuspects maximum number of suspected parts in a message, which bounds its size.
 * @property maxRelayedFilters maximum number of crashes in a message, the latest ones, for which a filter of all parts is sent if
 * not all can be listed; a filter has up to 11 KB.
 * @property maxCrashes maximum number of crashes that are kept.
 * @property maxSuspects maximum number of parts that all crashes together list.
 * @property maxSuspectsPerCrash maximum number of parts that a crash lists; it keeps the others in a filter.
 * @property maxQuarantined maximum number of quarantined parts.
 * @property maxRecentProofs maximum number of parts whose latest answer is remembered before they are involved in a crash.
 */
public data class QuarantineSettings(
    public val minRounds: Int = 3,
    public val minRoundsAfterAnswer: Int = 5,
    public val evidenceMillis: Long = 300_000,
    public val holdMillis: Long = 120_000,
    public val holdAfterAnswerMillis: Long = 30_000,
    public val maxHoldMillis: Long = 3_600_000,
    public val trialMillis: Long = 10_000,
    public val relayMillis: Long = 5_000,
    public val maxRelayedCrashes: Int = 32,
    public val maxRelayedSuspects: Int = 256,
    public val maxRelayedFilters: Int = 2,
    public val maxCrashes: Int = 256,
    public val maxSuspects: Int = 32_768,
    public val maxSuspectsPerCrash: Int = 512,
    public val maxQuarantined: Int = 256,
    public val maxRecentProofs: Int = 16_384,
)
