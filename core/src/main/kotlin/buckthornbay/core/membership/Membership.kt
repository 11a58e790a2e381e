package buckthornbay.core.membership

import buckthornbay.protocol.Heartbeat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.MemberStatus
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.ListSampler

/** A heartbeat that is to be sent to the host at [url]. */
public data class OutgoingHeartbeat(public val url: String, public val heartbeat: Heartbeat)

/**
 * Keeps the list of live hosts by exchanging heartbeats of bounded size between peers.
 *
 * A host that misses a heartbeat is suspected first; it can refute that by raising its incarnation. One that stays silent is
 * dead. Seeds and dead members are asked again from time to time, so that the two sides of a partition find each other.
 */
public class Membership(
    private var self: Member,
    private var seedUrls: List<String>,
    private val random: UniformRandomProvider,
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private val members = LinkedHashMap<HostId, Known>()
    private val loads = HashMap<HostId, Int>()
    private val versions = HashMap<HostId, Long>()
    private var roundOrder = ArrayDeque<HostId>()
    private var nextRoundAtMillis = 0L
    private var roundNumber = 0L

    private class Known(var member: Member, var changedAtMillis: Long, var toldLeft: Int) {
        var askedAtMillis: Long? = null
        var heardAtMillis = Long.MIN_VALUE / 2
    }

    /** This host as its peers should know it. */
    public val selfMember: Member get() = self

    /** All members that are known, this host included, dead ones too. */
    public fun all(): List<Member> = listOf(self) + members.values.map { it.member }

    /** Returns the hosts that take part in decisions: alive or suspected, this host included unless it is leaving. */
    public fun live(): List<Member> = all().filter { it.status == MemberStatus.ALIVE || it.status == MemberStatus.SUSPECT }

    /** Returns the member [host], or null where it is not known. */
    public fun find(host: HostId): Member? = if (host == self.host) self else members[host]?.member

    /** Returns how busy [host] said it was, in thousandths. */
    public fun loadPermilleOf(host: HostId): Int = loads[host] ?: 0

    /** Returns the highest version of the desired state that a live peer has in force, with that peer. */
    public fun newestState(): Pair<Member, Long>? =
        versions.mapNotNull { (host, version) -> members[host]?.member?.takeIf { it.status != MemberStatus.DEAD }?.to(version) }
            .maxByOrNull { it.second }

    /** Replaces the seeds, which may have changed since the start. */
    public fun updateSeeds(urls: List<String>) {
        seedUrls = urls
    }

    /** Tells the peers that this host takes no new work. */
    public fun leave() {
        self = self.copy(status = MemberStatus.LEAVING, incarnation = self.incarnation + 1)
    }

    /** Sends this period's heartbeats and moves silent members from suspected to dead. */
    public fun tick(nowMillis: Long, status: HostReport): List<OutgoingHeartbeat> {
        expire(nowMillis)
        if (nowMillis < nextRoundAtMillis) return emptyList()
        nextRoundAtMillis = nowMillis + settings.periodMillis
        roundNumber++
        val urls = LinkedHashSet<String>()
        nextInRound()?.let { known ->
            if (known.askedAtMillis == null) known.askedAtMillis = nowMillis
            urls += known.member.url
        }
        lonelyTarget()?.let { urls += it }
        return urls.map { OutgoingHeartbeat(it, heartbeat(status, reply = false, to = hostAt(it))) }
    }

    /** Returns heartbeats for a few random peers, to spread a new state version at once. */
    public fun announce(status: HostReport): List<OutgoingHeartbeat> {
        val peers = members.values.filter { it.member.status != MemberStatus.DEAD }
        return sampleOf(peers, settings.announceFanOut).map {
            OutgoingHeartbeat(it.member.url, heartbeat(status, reply = false, to = it.member.host))
        }
    }

    /** Takes in a [heartbeat] and returns the reply that it asks for, if any. */
    public fun receive(nowMillis: Long, heartbeat: Heartbeat, status: HostReport): OutgoingHeartbeat? {
        val sender = heartbeat.sender
        val isNew = sender.host !in members
        hearFrom(nowMillis, sender)
        recordContact(nowMillis, sender.host)
        loads[sender.host] = heartbeat.loadPermille
        versions[sender.host] = heartbeat.stateVersion
        heartbeat.members.forEach { learn(nowMillis, it) }
        if (heartbeat.reply) return null
        val extra = if (isNew) settings.joinMembers else 0
        return OutgoingHeartbeat(sender.url, heartbeat(status, reply = true, to = sender.host, extra))
    }

    /** Notes that something came from [host]. */
    public fun recordContact(nowMillis: Long, host: HostId) {
        members[host]?.heardAtMillis = nowMillis
    }

    /** Notes that [host] did not answer. */
    public fun markUnreachable(nowMillis: Long, host: HostId) {
        val known = members[host] ?: return
        if (known.member.status == MemberStatus.ALIVE) change(nowMillis, known, known.member.copy(status = MemberStatus.SUSPECT))
        if (known.member.status == MemberStatus.LEAVING) change(nowMillis, known, known.member.copy(status = MemberStatus.DEAD))
    }

    private fun hearFrom(nowMillis: Long, sender: Member) {
        if (sender.host == self.host) return
        val known = members[sender.host]
        if (known == null) {
            members[sender.host] = Known(sender, nowMillis, tellCount())
            return
        }
        known.askedAtMillis = null
        if (sender.incarnation >= known.member.incarnation && known.member != sender) {
            val revived = known.member.status != MemberStatus.DEAD || sender.incarnation > known.member.incarnation
            if (revived) change(nowMillis, known, sender)
        }
    }

    private fun learn(nowMillis: Long, rumor: Member) {
        if (rumor.host == self.host) {
            refute(rumor)
            return
        }
        val known = members[rumor.host]
        when {
            known == null && rumor.status != MemberStatus.DEAD ->
                members[rumor.host] = Known(rumor, nowMillis, tellCount())
            known != null && rumor.replaces(known.member) -> believe(nowMillis, known, rumor)
        }
    }

    /**
     * Takes over a rumor, but for doubts about a host that was just heard from. A death is only a suspicion at first: the two
     * sides
     * of a partition tell each other such rumors when they meet again, and a live host needs the time to refute them.
     */
    private fun believe(nowMillis: Long, known: Known, rumor: Member) {
        val doubts = rumor.status == MemberStatus.SUSPECT || rumor.status == MemberStatus.DEAD
        when {
            doubts && nowMillis - known.heardAtMillis < settings.suspectMillis -> Unit
            rumor.status == MemberStatus.DEAD && known.member.status == MemberStatus.ALIVE ->
                change(nowMillis, known, rumor.copy(status = MemberStatus.SUSPECT))
            else -> change(nowMillis, known, rumor)
        }
    }

    private fun refute(rumor: Member) {
        val wrong = rumor.status == MemberStatus.SUSPECT || rumor.status == MemberStatus.DEAD
        if (wrong && rumor.incarnation >= self.incarnation) {
            self = self.copy(incarnation = rumor.incarnation + 1)
        }
    }

    private fun change(nowMillis: Long, known: Known, member: Member) {
        known.member = member
        known.changedAtMillis = nowMillis
        known.toldLeft = tellCount()
        known.askedAtMillis = null
    }

    private fun expire(nowMillis: Long) {
        for (known in members.values) {
            val asked = known.askedAtMillis
            if (asked != null && nowMillis - asked > settings.replyTimeoutMillis) markUnreachable(nowMillis, known.member.host)
            val suspectedMillis = nowMillis - known.changedAtMillis
            if (known.member.status == MemberStatus.SUSPECT && suspectedMillis > settings.suspectMillis) {
                change(nowMillis, known, known.member.copy(status = MemberStatus.DEAD))
            }
        }
        members.values.removeIf {
            it.member.status == MemberStatus.DEAD && nowMillis - it.changedAtMillis > settings.forgetMillis
        }
    }

    private fun nextInRound(): Known? {
        if (roundOrder.isEmpty()) {
            val hosts = members.values.filter { it.member.status != MemberStatus.DEAD }.map { it.member.host }.toMutableList()
            if (hosts.size > 1) ListSampler.shuffle(random, hosts)
            roundOrder = ArrayDeque(hosts)
        }
        while (roundOrder.isNotEmpty()) {
            members[roundOrder.removeFirst()]?.let { if (it.member.status != MemberStatus.DEAD) return it }
        }
        return null
    }

    /** Picks a seed or a dead member now and then, at every period while no peer is known. */
    private fun lonelyTarget(): String? {
        val alone = members.values.none { it.member.status == MemberStatus.ALIVE }
        if (!alone && roundNumber % settings.rejoinRounds != 0L) return null
        val liveUrls = members.values.filter { it.member.status != MemberStatus.DEAD }.map { it.member.url }.toSet() + self.url
        val lost = (seedUrls + members.values.map { it.member.url }).distinct().filterNot { it in liveUrls }
        return if (lost.isEmpty()) null else lost[random.nextInt(lost.size)]
    }

    private fun heartbeat(status: HostReport, reply: Boolean, to: HostId?, extra: Int = 0): Heartbeat {
        val news = members.values.filter { it.toldLeft > 0 }.sortedByDescending { it.toldLeft }.take(settings.newsMembers)
        news.forEach { it.toldLeft-- }
        val told = LinkedHashSet(news.map { it.member })
        members[to]?.member?.let { if (it.status != MemberStatus.ALIVE) told += it }
        val others = members.values.map { it.member }.filter { it.status != MemberStatus.DEAD }
        told += sampleOf(others, settings.sampleMembers + extra)
        told.removeAll { it.host == to && it.status == MemberStatus.ALIVE }
        return Heartbeat(self, told.toList(), status.stateVersion, status.loadPermille, reply)
    }

    private fun <T> sampleOf(all: List<T>, count: Int): List<T> =
        if (count >= all.size) all else ListSampler.sample(random, all, count)

    private fun hostAt(url: String): HostId? = members.values.firstOrNull { it.member.url == url }?.member?.host

    private fun tellCount(): Int = settings.tellFactor * (Int.SIZE_BITS - (members.size + 1).countLeadingZeroBits())
}

/** What a host says of itself in heartbeats; the load is in thousandths. */
public data class HostReport(public val stateVersion: Long, public val loadPermille: Int)

private fun Member.replaces(known: Member): Boolean =
    incarnation > known.incarnation || (incarnation == known.incarnation && status.ordinal > known.status.ordinal)

/**
 * Times and bounds of a [Membership].
 *
 * @property periodMillis time between two heartbeats of one host, in milliseconds.
 * @property replyTimeoutMillis how long an answer may take before the peer is suspected, in milliseconds.
 * @property suspectMillis how long a suspicion may stand before the peer counts as dead, in milliseconds.
 * @property forgetMillis how long dead members are remembered, in milliseconds.
 * @property newsMembers most changes that one heartbeat carries.
 * @property sampleMembers random members that each heartbeat carries besides.
 * @property joinMembers further members that the answer to a new member carries.
 * @property announceFanOut peers that are told of a new state version at once.
 * @property rejoinRounds every how many periods a lost seed or member is asked.
 * @property tellFactor how often a change is told, for each doubling of the fleet.
 */
public data class MembershipSettings(
    public val periodMillis: Long = 1_000,
    public val replyTimeoutMillis: Long = 500,
    public val suspectMillis: Long = 3_000,
    public val forgetMillis: Long = 3_600_000,
    public val newsMembers: Int = 6,
    public val sampleMembers: Int = 1,
    public val joinMembers: Int = 32,
    public val announceFanOut: Int = 3,
    public val rejoinRounds: Int = 10,
    public val tellFactor: Int = 3,
)
