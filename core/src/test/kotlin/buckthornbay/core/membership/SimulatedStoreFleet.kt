package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import org.apache.commons.rng.simple.RandomSource
import java.util.PriorityQueue
import kotlin.random.Random

/** How the store, or the network, treats a host of a [SimulatedStoreFleet]. */
enum class StoreFault { NONE, REJECTED, SILENT }

/** The two collections that hosts follow. */
enum class Followed { CONFIGURATION, REGISTRATIONS }

/**
 * Hosts that follow the store in virtual time, by [StoreCallSchedule] and the statements of [StoreKnowledge].
 *
 * They exchange statements as routers do: with a random peer in each heartbeat period, and in large fleets with one host of
 * their zone, which exchanges them with those of the other zones. A host that learns of a newer version fetches it.
 */
internal class SimulatedStoreFleet(hostCount: Int, private val lagMillis: Long, seed: Long) {
    private class Event(val atMillis: Long, val sequence: Int, val action: () -> Unit)

    private class Change(val revision: Long, val atMillis: Long, val followed: Followed)

    /** A change that a host applied later than the allowed lag, or not at all. */
    data class LateChange(val host: HostId, val followed: Followed, val version: Long, val lagMillis: Long)

    inner class Host(val index: Int) {
        val id = HostId("host-$index")
        private val versions = Followed.entries.associateWith { 0L }.toMutableMap()
        val appliedAtMillis = Followed.entries.associateWith { HashMap<Long, Long>() }
        var fault: (Followed) -> StoreFault = { StoreFault.NONE }
        var responseMillis = STORE_MILLIS

        /** Time before which no response of the store arrives, in milliseconds. */
        var noResponseBeforeMillis = 0L
        var cutFromPeers = false
        var frozenUntilMillis = 0L
        val isFrozen: Boolean get() = nowMillis < frozenUntilMillis

        private val clockOffsetMillis = random.nextLong(1_000_000)
        private val ownMillis: Long get() = nowMillis + clockOffsetMillis
        private val collections = Followed.entries.associateWith { CollectionKnowledge { versions.getValue(it) } }
        private val knowledge = StoreKnowledge(
            id,
            clockId = index.toLong(),
            collections.getValue(Followed.CONFIGURATION),
            collections.getValue(Followed.REGISTRATIONS),
        )
        private val schedules = Followed.entries.associateWith {
            val times = StoreCallTimes(ChangeLimits(lagMillis, CONTACT_MILLIS))
            val batchMillis = if (it == Followed.REGISTRATIONS) BATCH_MILLIS else 0
            StoreCallSchedule(id, collections.getValue(it), times, scheduleRandom, batchMillis)
        }
        private val decisions = Followed.entries.associateWith { 0 }.toMutableMap()
        private val underWay = HashSet<PendingStoreCall>()
        private var fetching = false

        fun version(followed: Followed): Long = versions.getValue(followed)

        fun ageMillis(followed: Followed): Long = collections.getValue(followed).ageMillis(ownMillis)

        private fun apply(followed: Followed, version: Long) {
            if (version <= version(followed)) return
            for (applied in version(followed) + 1..version) appliedAtMillis.getValue(followed)[applied] = nowMillis
            versions[followed] = version
            (hosts - this).shuffled(random).take(ANNOUNCE_FAN_OUT).forEach { heartbeat(it) }
        }

        /** Decides what to do next; a later decision replaces the waiting of an earlier one. */
        fun follow(followed: Followed) {
            if (isFrozen) return at(frozenUntilMillis) { follow(followed) }
            val decision = decisions.getValue(followed) + 1
            decisions[followed] = decision
            when (val step = schedules.getValue(followed).next(ownMillis, liveHosts(), version(followed) > 0)) {
                is StoreStep.Wait -> after(step.millis) { if (decisions.getValue(followed) == decision) follow(followed) }
                is StoreStep.Send -> {
                    step.givenUp?.let(underWay::remove)
                    underWay += step.call
                    calls++
                    poll(Poll(followed, step.call))
                    follow(followed)
                }
            }
        }

        private inner class Poll(val followed: Followed, val pending: PendingStoreCall) {
            val sentAtMillis = nowMillis
            val watch: StoreCall.Watch? = pending.call as? StoreCall.Watch
            private val waitMillis: Long = watch?.waitMillis ?: 0
            val waitEndMillis = sentAtMillis + waitMillis
            val deadlineMillis = waitEndMillis + pending.timeoutMillis

            val isLost: Boolean get() = fault(followed) == StoreFault.SILENT || sentAtMillis < callsLostBeforeMillis
            val isCut: Boolean get() = watch != null && sentAtMillis < watchesCutAtMillis && nowMillis >= watchesCutAtMillis

            /** Whether the store tells this watch of nothing, because the history after its revision goes or is gone. */
            val isDeaf: Boolean get() = watch != null && (nowMillis < deafUntilMillis || watch.revision < oldestRevision)
            val hasNews: Boolean get() = watch == null || newestRevision(followed) > watch.revision
            val isAnswered: Boolean get() = hasNews || nowMillis >= waitEndMillis
        }

        private fun poll(poll: Poll): Unit = when {
            poll.pending !in underWay -> Unit
            poll.isLost -> at(poll.deadlineMillis) { fail(poll) }
            fault(poll.followed) == StoreFault.REJECTED || poll.isCut -> after(responseMillis) { fail(poll) }
            poll.isDeaf -> pollDeaf(poll)
            poll.isAnswered -> {
                val revision = storeRevision
                val version = newestVersion(poll.followed)
                val changed = poll.hasNews
                val arrivesAtMillis = maxOf(nowMillis + responseMillis, noResponseBeforeMillis)
                if (arrivesAtMillis > poll.deadlineMillis && noResponseBeforeMillis < nowMillis) {
                    at(poll.deadlineMillis) { fail(poll) }
                } else {
                    at(arrivesAtMillis) { receive(poll, revision, version, changed) }
                }
            }
            else -> after(POLL_MILLIS) { poll(poll) }
        }

        /** A watch that already waits is told that the history is gone when its wait is over; if that is before, never. */
        private fun pollDeaf(poll: Poll) {
            val toldAtMillis = if (poll.sentAtMillis >= deafUntilMillis) nowMillis else poll.waitEndMillis
            when {
                nowMillis < deafUntilMillis || nowMillis < toldAtMillis -> after(POLL_MILLIS) { poll(poll) }
                toldAtMillis >= deafUntilMillis -> after(responseMillis) { relist(poll) }
                else -> at(poll.deadlineMillis) { fail(poll) }
            }
        }

        private fun receive(poll: Poll, revision: Long, version: Long, changed: Boolean) {
            if (isFrozen) return at(frozenUntilMillis) { receive(poll, revision, version, changed) }
            if (!underWay.remove(poll.pending)) return
            apply(poll.followed, version)
            underWay -= schedules.getValue(poll.followed).answered(ownMillis, poll.pending, revision, changed).toSet()
            exchangeTargets(this).forEach(::exchange)
            follow(poll.followed)
        }

        private fun relist(poll: Poll) {
            if (!underWay.remove(poll.pending)) return
            underWay -= schedules.getValue(poll.followed).historyGone(poll.pending).toSet()
            follow(poll.followed)
        }

        private fun fail(poll: Poll) {
            if (!underWay.remove(poll.pending)) return
            schedules.getValue(poll.followed).failed(ownMillis, poll.pending)
            follow(poll.followed)
        }

        /** Sends a heartbeat to [peer], whose reply states what it knows. */
        fun heartbeat(peer: Host) = message(peer, knowledge.statementFor(ownMillis, recipient = null))

        /** Exchanges statements with [peer] in both directions. */
        fun exchange(peer: Host) = message(peer, knowledge.statementFor(ownMillis, peer.id))

        private fun message(peer: Host, statement: StoreStatement) {
            val sentVersions = versions.toMap()
            deliver(peer) {
                val before = peer.knowledge.confirmedAtMillis
                peer.receive(this, statement, sentVersions)
                val passesOn = peer.knowledge.confirmedAtMillis != before && peer.index % ZONES == index % ZONES
                if (passesOn) exchangeTargets(peer).forEach(peer::exchange)
                val reply = peer.knowledge.statementFor(peer.ownMillis, id)
                val peerVersions = peer.versions.toMap()
                peer.deliver(this) { receive(peer, reply, peerVersions) }
            }
        }

        private fun receive(peer: Host, statement: StoreStatement, peerVersions: Map<Followed, Long>) {
            knowledge.receive(ownMillis, statement)
            if (fetching || Followed.entries.none { peerVersions.getValue(it) > version(it) }) return
            fetching = true
            after(FETCH_TIMEOUT_MILLIS) { fetching = false }
            deliver(peer) {
                val fetched = peer.versions.toMap()
                peer.deliver(this) {
                    fetching = false
                    fetched.forEach(::apply)
                }
            }
        }

        private fun deliver(peer: Host, action: () -> Unit) {
            if (isFrozen || cutFromPeers || peer.cutFromPeers) return
            after(PEER_MILLIS) { if (peer.isFrozen) at(peer.frozenUntilMillis, action) else action() }
        }
    }

    private val random = Random(seed)
    private val scheduleRandom = RandomSource.SPLIT_MIX_64.create(seed)
    private val events = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.sequence }))
    private var sequence = 0
    private val history = ArrayList<Change>()
    private var storeRevision = 1L
    private var oldestRevision = 0L
    private var callsLostBeforeMillis = Long.MIN_VALUE
    private var watchesCutAtMillis = Long.MIN_VALUE
    private var deafUntilMillis = Long.MIN_VALUE

    var nowMillis = 0L
        private set

    /** Calls of the store since the start. */
    var calls = 0
        private set

    val hosts = List(hostCount) { Host(it) }

    /** The hosts in the order in which they call the store. */
    val byRank: List<Host> = rendezvousOrder("store-watch", hosts) { it.id.value }

    private val allIds = hosts.map { it.id }
    private val byAggregatorRank = rendezvousOrder("accounts", hosts) { it.id.value }

    init {
        Followed.entries.forEach(::change)
        for (host in hosts) {
            Followed.entries.forEach { followed -> at(random.nextLong(START_MILLIS)) { host.follow(followed) } }
            val peers = hosts - host
            if (peers.isNotEmpty()) every(HEARTBEAT_MILLIS) { host.heartbeat(peers.random(random)) }
            every(EXCHANGE_MILLIS) { exchangeTargets(host).forEach(host::exchange) }
        }
    }

    /** Changes a collection; the store acknowledges it at once. */
    fun change(followed: Followed) {
        storeRevision++
        history += Change(storeRevision, nowMillis, followed)
    }

    /** Loses the responses to all calls that have been sent; calls on new connections are answered. */
    fun loseCalls() {
        callsLostBeforeMillis = nowMillis
    }

    /** Lets watches hear of no change for [deafMillis], then cuts them, and drops the history shortly after that. */
    fun dropHistory(deafMillis: Long) {
        watchesCutAtMillis = nowMillis + deafMillis
        deafUntilMillis = watchesCutAtMillis + DROP_DELAY_MILLIS
        at(deafUntilMillis) { oldestRevision = storeRevision }
    }

    fun runUntil(millis: Long) {
        while (events.isNotEmpty() && events.peek().atMillis <= millis) {
            val event = events.remove()
            nowMillis = event.atMillis
            event.action()
        }
        nowMillis = millis
    }

    fun at(millis: Long, action: () -> Unit) {
        events += Event(maxOf(millis, nowMillis), sequence++, action)
    }

    fun every(periodMillis: Long, action: () -> Unit) = repeatAt(nowMillis + random.nextLong(periodMillis), periodMillis, action)

    /**
     * Returns the changes from [sinceMillis] on that [judged] hosts applied later than the allowed lag, or not yet; changes that
     * must be applied by [noSoonerMillis] or before are not late until then.
     */
    fun lateChanges(sinceMillis: Long, noSoonerMillis: Long = Long.MIN_VALUE, judged: (Host) -> Boolean): List<LateChange> =
        Followed.entries.flatMap { followed ->
            val changes = history.filter { it.followed == followed }
            changes.flatMapIndexed { index, change ->
                val limitMillis = maxOf(change.atMillis + lagMillis, noSoonerMillis)
                if (change.atMillis < sinceMillis || limitMillis > nowMillis) return@flatMapIndexed emptyList()
                hosts.filter(judged).mapNotNull { host ->
                    val appliedAtMillis = host.appliedAtMillis.getValue(followed)[index + 1L] ?: nowMillis
                    LateChange(host.id, followed, index + 1L, appliedAtMillis - change.atMillis).takeIf {
                        appliedAtMillis >
                            limitMillis
                    }
                }
            }
        }

    private fun repeatAt(millis: Long, periodMillis: Long, action: () -> Unit): Unit = at(millis) {
        action()
        repeatAt(millis + periodMillis, periodMillis, action)
    }

    private fun after(delayMillis: Long, action: () -> Unit) = at(nowMillis + delayMillis, action)

    private fun newestVersion(followed: Followed): Long = history.count { it.followed == followed }.toLong()

    private fun newestRevision(followed: Followed): Long = history.last { it.followed == followed }.revision

    /** Hosts that membership takes for live: a frozen one is suspected for some time, then dead. */
    private fun liveHosts(): List<HostId> = if (hosts.none(::isDead)) allIds else hosts.filterNot(::isDead).map { it.id }

    private fun isDead(host: Host) = host.isFrozen && host.frozenUntilMillis - nowMillis < FREEZE_MILLIS - DEAD_AFTER_MILLIS

    /** Hosts with which [host] exchanges accounts, which small fleets don't do. */
    private fun exchangeTargets(host: Host): List<Host> {
        if (hosts.size <= StoreCallSettings().smallFleet) return emptyList()
        val own = aggregatorOf(host.index % ZONES)
        if (own != host) return listOf(own)
        return (0 until ZONES).filter { it != host.index % ZONES }.map(::aggregatorOf)
    }

    private fun aggregatorOf(zone: Int): Host = byAggregatorRank.first { it.index % ZONES == zone && !isDead(it) }

    companion object {
        /** Duration of a freeze, in milliseconds. */
        const val FREEZE_MILLIS = 8_000L

        /** Time after a failure of the store from which on changes must be applied in time again, in milliseconds. */
        const val CONTACT_MILLIS = 3_000L

        private const val ZONES = 6

        /** Time from the end of the watches until the history is dropped, in milliseconds. */
        private const val DROP_DELAY_MILLIS = 50L
        private const val START_MILLIS = 300L
        private const val STORE_MILLIS = 4L
        private const val POLL_MILLIS = 5L
        private const val PEER_MILLIS = 10L
        private const val FETCH_TIMEOUT_MILLIS = 400L
        private const val HEARTBEAT_MILLIS = 150L
        private const val EXCHANGE_MILLIS = 400L
        private const val ANNOUNCE_FAN_OUT = 3
        private const val DEAD_AFTER_MILLIS = 2_100L
        private const val BATCH_MILLIS = 250L
    }
}
