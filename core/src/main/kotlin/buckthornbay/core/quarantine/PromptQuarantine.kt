package buckthornbay.core.quarantine

import buckthornbay.core.LruMap
import buckthornbay.core.load.TokenDemand

/** A change of the quarantine, for logs. */
public sealed interface QuarantineChange {
    public val part: String

    /** Requests with [part] are refused from now on; [crashes] of the upstreams that are known here ended under them. */
    public data class Quarantined(override val part: String, public val crashes: Int) : QuarantineChange

    /** Requests with [part] are accepted again. */
    public data class Released(override val part: String, public val reason: String) : QuarantineChange
}

/**
 * The prompt parts under which upstreams crash, as known to this host.
 *
 * A part of a prompt can crash every upstream that begins to answer a request with it. Callers go on sending it, at any host, and
 * each request takes with it whatever else the upstream was processing. So hosts share which parts were involved in crashes and
 * refuse requests with a part that explains several of them.
 *
 * Crashes and proofs are passed on while they are recent, quarantined parts for as long as they are in force.
 */
public class PromptQuarantine(private val settings: QuarantineSettings = QuarantineSettings()) {
    private class Proof(val id: String, val atMillis: Long)

    private class Entry(val firstCrash: String, val sinceMillis: Long)

    private val proofs = LruMap<String, Proof>(settings.maxProofs)
    private val crashes = LinkedHashMap<String, Crash>()
    private val quarantined = LinkedHashMap<String, Entry>()

    /** Number of quarantined parts. */
    public val size: Int get() = quarantined.size

    /** Records that request [id] with [demand] was answered, which proves that its parts crash no upstream. */
    public fun recordAnswered(nowMillis: Long, id: String, demand: TokenDemand): List<QuarantineChange> {
        demand.sharedParts.forEach { proofs[it.id] = Proof(id, nowMillis) }
        return if (demand.sharedParts.any { it.id in quarantined }) update(nowMillis) else emptyList()
    }

    /** Records that the incarnation [upstream] crashed; [suspects] are parts of requests that it had not begun to answer. */
    public fun recordCrash(nowMillis: Long, upstream: String, suspects: List<Suspect>): List<QuarantineChange> {
        val crash = crashes.getOrPut(upstream) { Crash(upstream, nowMillis) }
        return if (crash.add(suspects)) update(nowMillis) else emptyList()
    }

    /**
     * Quarantines [parts] that were quarantined before all hosts restarted.
     *
     * Nothing is known of their crashes. They count as old, so that any answer that a host knows of releases them.
     */
    public fun restore(nowMillis: Long, parts: List<String>): List<QuarantineChange> = parts
        .filter { it !in quarantined && it !in proofs }
        .map { part ->
            quarantined[part] = Entry(RESTORED, nowMillis - settings.evidenceMillis)
            QuarantineChange.Quarantined(part, crashes = 0)
        }

    /** Returns the first part of [demand] that is quarantined, or null if there is none. */
    public fun quarantinedPart(demand: TokenDemand): String? {
        if (quarantined.isEmpty()) return null
        return demand.sharedParts.firstOrNull { it.id in quarantined }?.id
    }

    /** Returns the time until [part] is accepted again, in milliseconds; 0 if it is not quarantined. */
    public fun remainingMillis(nowMillis: Long, part: String): Long {
        val entry = quarantined[part] ?: return 0
        return (entry.sinceMillis + settings.holdMillis - nowMillis).coerceAtLeast(0)
    }

    /** Drops what is too old to matter; returns the parts that are accepted again. */
    public fun expire(nowMillis: Long): List<QuarantineChange> {
        crashes.values.removeIf { nowMillis - it.atMillis > settings.evidenceMillis }
        val ended = quarantined.filterValues { nowMillis - it.sinceMillis >= settings.holdMillis }.keys.toList()
        return ended.map { release(it, "the hold time is over") }
    }

    /** Returns what a peer needs to know. */
    public fun news(nowMillis: Long): QuarantineNews {
        val recent = crashes.values.filter {
            nowMillis - it.atMillis <= settings.relayMillis
        }.takeLast(settings.maxRelayedCrashes)
        val relevantParts = recent.flatMap { crash -> crash.suspects.map { it.part } }.toSet() + quarantined.keys
        return QuarantineNews(
            crashes = recent.map { crash ->
                val suspects = crash.suspects.map { SuspectNews(it.part, it.position, nowMillis - it.sentAtMillis) }
                CrashNews(crash.upstream, nowMillis - crash.atMillis, suspects)
            },
            answered = relevantParts.mapNotNull { part ->
                proofs[part]?.let { AnsweredNews(part, it.id, nowMillis - it.atMillis) }
            },
            quarantined = quarantined.map { (part, entry) ->
                QuarantinedNews(part, entry.firstCrash, nowMillis - entry.sinceMillis)
            },
        )
    }

    /** Merges the [news] of a peer. */
    public fun merge(nowMillis: Long, news: QuarantineNews): List<QuarantineChange> {
        val newCrashes = news.crashes.count { mergeCrash(nowMillis, it) }
        val newProofs = news.answered.filter { mergeProof(nowMillis, it) }.count { it.part in quarantined }
        val adopted = news.quarantined.filter { mergeQuarantined(nowMillis, it) }
            .map { QuarantineChange.Quarantined(it.part, crashesWith(it.part)) }
        return adopted + if (newCrashes + newProofs > 0) update(nowMillis) else emptyList()
    }

    private fun mergeCrash(nowMillis: Long, news: CrashNews): Boolean {
        val crash = crashes.getOrPut(news.upstream) { Crash(news.upstream, nowMillis - news.ageMillis) }
        return crash.add(news.suspects.map { Suspect(it.part, it.position, nowMillis - it.sentAgeMillis) })
    }

    private fun mergeProof(nowMillis: Long, news: AnsweredNews): Boolean {
        val known = proofs[news.part]
        val atMillis = nowMillis - news.ageMillis
        if (known != null && (known.id == news.proof || known.atMillis >= atMillis)) return false
        proofs[news.part] = Proof(news.proof, atMillis)
        return true
    }

    private fun mergeQuarantined(nowMillis: Long, news: QuarantinedNews): Boolean {
        val sinceMillis = nowMillis - news.ageMillis
        val known = quarantined[news.part]
        val refuted = (proofs[news.part]?.atMillis ?: Long.MIN_VALUE) >= sinceMillis
        val isNewer = known == null || (known.firstCrash != news.firstCrash && known.sinceMillis < sinceMillis)
        if (refuted || !isNewer || news.ageMillis >= settings.holdMillis) return false
        quarantined[news.part] = Entry(news.firstCrash, sinceMillis)
        return known == null
    }

    /** Applies the evidence: releases parts that are proven sound, then quarantines those that are to blame. */
    private fun update(nowMillis: Long): List<QuarantineChange> {
        val changes = ArrayList<QuarantineChange>()
        quarantined.filter { (part, entry) -> (proofs[part]?.atMillis ?: Long.MIN_VALUE) >= entry.sinceMillis }.keys.forEach {
            changes += release(it, "a request with it was answered")
        }
        val blamed = blame(crashes.values, settings.minRounds) { proofs[it]?.atMillis }
        for (blame in blamed) {
            val entry = Entry(blame.first.upstream, blame.first.atMillis)
            if (quarantined.put(blame.part, entry) == null) {
                changes += QuarantineChange.Quarantined(blame.part, crashesWith(blame.part))
            }
        }
        return changes + releaseExplained(nowMillis, blamed)
    }

    /** Releases the parts whose crashes are all explained by another part that was blamed since. */
    private fun releaseExplained(nowMillis: Long, blamed: List<Blame>): List<QuarantineChange> {
        val explaining = blamed.map { it.part }.toSet()
        val explained = quarantined.keys.filter { part ->
            val involved = crashes.values.filter { it.suspect(part) != null }
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

    private fun crashesWith(part: String) = crashes.values.count { it.suspect(part) != null }

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
 * @property evidenceMillis how long a crash is kept as evidence, in milliseconds.
 * @property holdMillis how long a part stays quarantined, in milliseconds; long, because each attempt to release it too early
 * costs [minRounds] upstreams.
 * @property relayMillis how long a crash is passed on to peers, in milliseconds; gossip reaches all hosts within two seconds.
 * @property maxRelayedCrashes maximum number of crashes in a message.
 * @property maxProofs maximum number of parts whose latest answer is remembered.
 */
public data class QuarantineSettings(
    public val minRounds: Int = 3,
    public val evidenceMillis: Long = 300_000,
    public val holdMillis: Long = 600_000,
    public val relayMillis: Long = 5_000,
    public val maxRelayedCrashes: Int = 32,
    public val maxProofs: Int = 4_096,
)
