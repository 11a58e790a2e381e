package buckthornbay.core.membership

import buckthornbay.protocol.Heartbeat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.MemberStatus
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.ListSampler

/** A heartbeat to send to the host at [url]. */
public data class OutgoingHeartbeat(public val url: String, public val heartbeat: Heartbeat)

/**
 * A gossip membership protocol that tracks the live hosts with heartbeats of bounded size, similar to SWIM.
 *
 * A host that does not answer a heartbeat becomes suspected and can refute the suspicion by raising its incarnation. If it does
 * not answer before the suspicion times out, it is marked dead. Seeds and dead members are contacted periodically, so that the
 * two sides of a partition rejoin.
 */
public class Membership(
    private var self: Member,
    private var seedUrls: List<String>,
    private val random: UniformRandomProvider,
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private val members = LinkedHashMap<HostId, MemberEntry>()
    private val loads = HashMap<HostId, Int>()
    private val versions = HashMap<HostId, Long>()
    private var probeOrder = ArrayDeque<HostId>()
    private var nextRoundAtMillis = 0L
    private var roundNumber = 0L

    private class MemberEntry(var member: Member, var changedAtMillis: Long, var transmissionsLeft: Int) {
        var unansweredSinceMillis: Long? = null
        var lastContactMillis = Long.MIN_VALUE / 2
    }

    /** The membership record of this host. */
    public val selfMember: Member get() = self

    /** Returns all known members, including this host and dead members. */
    public fun all(): List<Member> = listOf(self) + members.values.map { it.member }

    /** Returns the members that are alive or suspected, including this host unless it is leaving. */
    public fun live(): List<Member> = all().filter { it.status == MemberStatus.ALIVE || it.status == MemberStatus.SUSPECT }

    /** Returns the member [host], or null if it is unknown. */
    public fun find(host: HostId): Member? = if (host == self.host) self else members[host]?.member

    /** Returns the load that [host] last reported, in thousandths, or 0 if it is unknown. */
    public fun loadPermilleOf(host: HostId): Int = loads[host] ?: 0

    /** Returns the highest version of the desired state that a peer reported, with that peer; ignores dead members. */
    public fun newestState(): Pair<Member, Long>? =
        versions.mapNotNull { (host, version) -> members[host]?.member?.takeIf { it.status != MemberStatus.DEAD }?.to(version) }
            .maxByOrNull { it.second }

    /** Replaces the seeds, which can change at runtime. */
    public fun updateSeeds(urls: List<String>) {
        seedUrls = urls
    }

    /** Marks this host as leaving, so that peers send it no new requests. */
    public fun leave() {
        self = self.copy(status = MemberStatus.LEAVING, incarnation = self.incarnation + 1)
    }

    /** Returns the heartbeats of the current period and applies the suspicion timeouts. */
    public fun tick(nowMillis: Long, report: HostReport): List<OutgoingHeartbeat> {
        expire(nowMillis)
        if (nowMillis < nextRoundAtMillis) return emptyList()
        nextRoundAtMillis = nowMillis + settings.periodMillis
        roundNumber++
        val urls = LinkedHashSet<String>()
        nextProbeTarget()?.let { entry ->
            if (entry.unansweredSinceMillis == null) entry.unansweredSinceMillis = nowMillis
            urls += entry.member.url
        }
        rejoinUrl()?.let { urls += it }
        return urls.map { OutgoingHeartbeat(it, heartbeat(report, reply = false, to = hostAt(it))) }
    }

    /** Returns heartbeats for a few random peers, to propagate a new state version immediately. */
    public fun announce(report: HostReport): List<OutgoingHeartbeat> {
        val peers = members.values.filter { it.member.status != MemberStatus.DEAD }
        return sampleOf(peers, settings.announceFanOut).map {
            OutgoingHeartbeat(it.member.url, heartbeat(report, reply = false, to = it.member.host))
        }
    }

    /** Processes a received [heartbeat] and returns the reply, or null if it is itself a reply. */
    public fun receive(nowMillis: Long, heartbeat: Heartbeat, report: HostReport): OutgoingHeartbeat? {
        val sender = heartbeat.sender
        val isNew = sender.host !in members
        updateSender(nowMillis, sender)
        recordContact(nowMillis, sender.host)
        loads[sender.host] = heartbeat.loadPermille
        versions[sender.host] = heartbeat.stateVersion
        heartbeat.members.forEach { applyUpdate(nowMillis, it) }
        if (heartbeat.reply) return null
        val extra = if (isNew) settings.joinMembers else 0
        return OutgoingHeartbeat(sender.url, heartbeat(report, reply = true, to = sender.host, extra))
    }

    /** Records [nowMillis] as the time of the last message from [host], if it is a known member. */
    public fun recordContact(nowMillis: Long, host: HostId) {
        members[host]?.lastContactMillis = nowMillis
    }

    /** Records that [host] did not answer: an alive member becomes suspected, a leaving one dead. */
    public fun markUnreachable(nowMillis: Long, host: HostId) {
        val entry = members[host] ?: return
        if (entry.member.status == MemberStatus.ALIVE) change(nowMillis, entry, entry.member.copy(status = MemberStatus.SUSPECT))
        if (entry.member.status == MemberStatus.LEAVING) change(nowMillis, entry, entry.member.copy(status = MemberStatus.DEAD))
    }

    private fun updateSender(nowMillis: Long, sender: Member) {
        if (sender.host == self.host) return
        val entry = members[sender.host]
        if (entry == null) {
            members[sender.host] = MemberEntry(sender, nowMillis, transmissionLimit())
            return
        }
        entry.unansweredSinceMillis = null
        if (sender.incarnation >= entry.member.incarnation && entry.member != sender) {
            val accepted = entry.member.status != MemberStatus.DEAD || sender.incarnation > entry.member.incarnation
            if (accepted) change(nowMillis, entry, sender)
        }
    }

    private fun applyUpdate(nowMillis: Long, update: Member) {
        if (update.host == self.host) {
            refute(update)
            return
        }
        val entry = members[update.host]
        when {
            entry == null && update.status != MemberStatus.DEAD ->
                members[update.host] = MemberEntry(update, nowMillis, transmissionLimit())
            entry != null && update.replaces(entry.member) -> acceptUpdate(nowMillis, entry, update)
        }
    }

    /**
     * Applies a gossiped update, except for a suspicion or death of a host that was in contact within the suspicion timeout.
     *
     * A gossiped death of an alive member only makes it suspected. After a partition heals, the two sides exchange such updates
     * about live hosts, which need time to refute them.
     */
    private fun acceptUpdate(nowMillis: Long, entry: MemberEntry, update: Member) {
        val isFailure = update.status == MemberStatus.SUSPECT || update.status == MemberStatus.DEAD
        when {
            isFailure && nowMillis - entry.lastContactMillis < settings.suspectMillis -> Unit
            update.status == MemberStatus.DEAD && entry.member.status == MemberStatus.ALIVE ->
                change(nowMillis, entry, update.copy(status = MemberStatus.SUSPECT))
            else -> change(nowMillis, entry, update)
        }
    }

    private fun refute(update: Member) {
        val isFailure = update.status == MemberStatus.SUSPECT || update.status == MemberStatus.DEAD
        if (isFailure && update.incarnation >= self.incarnation) {
            self = self.copy(incarnation = update.incarnation + 1)
        }
    }

    private fun change(nowMillis: Long, entry: MemberEntry, member: Member) {
        entry.member = member
        entry.changedAtMillis = nowMillis
        entry.transmissionsLeft = transmissionLimit()
        entry.unansweredSinceMillis = null
    }

    private fun expire(nowMillis: Long) {
        for (entry in members.values) {
            val since = entry.unansweredSinceMillis
            if (since != null && nowMillis - since > settings.replyTimeoutMillis) markUnreachable(nowMillis, entry.member.host)
            val suspectedMillis = nowMillis - entry.changedAtMillis
            if (entry.member.status == MemberStatus.SUSPECT && suspectedMillis > settings.suspectMillis) {
                change(nowMillis, entry, entry.member.copy(status = MemberStatus.DEAD))
            }
        }
        members.values.removeIf {
            it.member.status == MemberStatus.DEAD && nowMillis - it.changedAtMillis > settings.deadRetentionMillis
        }
    }

    private fun nextProbeTarget(): MemberEntry? {
        if (probeOrder.isEmpty()) {
            val hosts = members.values.filter { it.member.status != MemberStatus.DEAD }.map { it.member.host }.toMutableList()
            if (hosts.size > 1) ListSampler.shuffle(random, hosts)
            probeOrder = ArrayDeque(hosts)
        }
        while (probeOrder.isNotEmpty()) {
            members[probeOrder.removeFirst()]?.let { if (it.member.status != MemberStatus.DEAD) return it }
        }
        return null
    }

    /** Returns the URL of a random lost seed or dead member: every few periods, or in every period while no peer is alive. */
    private fun rejoinUrl(): String? {
        val alone = members.values.none { it.member.status == MemberStatus.ALIVE }
        if (!alone && roundNumber % settings.rejoinRounds != 0L) return null
        val liveUrls = members.values.filter { it.member.status != MemberStatus.DEAD }.map { it.member.url }.toSet() + self.url
        val unreachableUrls = (seedUrls + members.values.map { it.member.url }).distinct().filterNot { it in liveUrls }
        return if (unreachableUrls.isEmpty()) null else unreachableUrls[random.nextInt(unreachableUrls.size)]
    }

    private fun heartbeat(report: HostReport, reply: Boolean, to: HostId?, extra: Int = 0): Heartbeat {
        val changed = members.values
            .filter { it.transmissionsLeft > 0 }
            .sortedByDescending { it.transmissionsLeft }
            .take(settings.maxChangedMembers)
        changed.forEach { it.transmissionsLeft-- }
        val included = LinkedHashSet(changed.map { it.member })
        members[to]?.member?.let { if (it.status != MemberStatus.ALIVE) included += it }
        val others = members.values.map { it.member }.filter { it.status != MemberStatus.DEAD }
        included += sampleOf(others, settings.sampleMembers + extra)
        included.removeAll { it.host == to && it.status == MemberStatus.ALIVE }
        return Heartbeat(self, included.toList(), report.stateVersion, report.loadPermille, reply)
    }

    private fun <T> sampleOf(all: List<T>, count: Int): List<T> =
        if (count >= all.size) all else ListSampler.sample(random, all, count)

    private fun hostAt(url: String): HostId? = members.values.firstOrNull { it.member.url == url }?.member?.host

    private fun transmissionLimit(): Int = settings.retransmitFactor * (Int.SIZE_BITS - (members.size + 1).countLeadingZeroBits())
}

/** The state that a host reports about itself in heartbeats; the load is in thousandths. */
public data class HostReport(public val stateVersion: Long, public val loadPermille: Int)

private fun Member.replaces(current: Member): Boolean =
    incarnation > current.incarnation || (incarnation == current.incarnation && status.ordinal > current.status.ordinal)

/**
 * Timeouts and limits of [Membership].
 *
 * @property periodMillis interval between heartbeats of one host, in milliseconds.
 * @property replyTimeoutMillis time without a reply after which a peer is suspected, in milliseconds.
 * @property suspectMillis time after which a suspected peer that has not refuted the suspicion is marked dead, in milliseconds.
 * @property deadRetentionMillis how long the records of dead members are kept, in milliseconds.
 * @property maxChangedMembers maximum number of changed members in one heartbeat.
 * @property sampleMembers number of additional random members in each heartbeat.
 * @property joinMembers number of additional random members in the reply to a new member.
 * @property announceFanOut number of peers that receive a new state version immediately.
 * @property rejoinRounds number of periods between two attempts to contact a lost seed or member.
 * @property retransmitFactor number of times that a change is gossiped, per doubling of the fleet size.
 */
public data class MembershipSettings(
    public val periodMillis: Long = 1_000,
    public val replyTimeoutMillis: Long = 500,
    public val suspectMillis: Long = 3_000,
    public val deadRetentionMillis: Long = 3_600_000,
    public val maxChangedMembers: Int = 6,
    public val sampleMembers: Int = 1,
    public val joinMembers: Int = 32,
    public val announceFanOut: Int = 3,
    public val rejoinRounds: Int = 10,
    public val retransmitFactor: Int = 3,
)
