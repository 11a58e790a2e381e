package buckthornbay.core.membership

import buckthornbay.protocol.HostId

/** What a host does next to keep its knowledge of a collection of the store complete. */
public sealed interface StoreCall {
    /** Lists all objects. */
    public data object ListAll : StoreCall

    /** Asks for the changes since [revision], waiting up to [waitMillis] for one. */
    public data class Watch(public val revision: Long, public val waitMillis: Long) : StoreCall

    /** Leaves the collection to the peers and decides again after [millis]. */
    public data class Delegate(public val millis: Long) : StoreCall
}

/** Returns whether [host] watches the store for the others, given the [live] hosts; in a small fleet all hosts do. */
public fun watchesStore(host: HostId, live: Collection<HostId>, settings: StoreCallSettings = StoreCallSettings()): Boolean =
    live.size <= settings.smallFleet || storeRank(host, live) < settings.watchers

/** Returns the place of [host] in the order in which the [live] hosts call the store. */
private fun storeRank(host: HostId, live: Collection<HostId>): Int =
    rendezvousOrder("store-watch", live).indexOf(host).let { if (it < 0) live.size else it }

/**
 * The decision when a host calls the store for one collection; otherwise it receives changes from its peers.
 *
 * Store calls are billed individually, so the number of hosts that watch does not grow with the fleet. A host relies on them
 * only as long as its own knowledge is young. At an age that depends on its place in the order of rendezvous hashing, it takes
 * over: a few hosts take over from watchers that are rejected, frozen or cut off, and a large fleet doesn't call the store in
 * one moment. It does so early enough to get a response within the allowed lag, and relies on its peers again as soon as one
 * of them confirms the knowledge later than its own call.
 *
 * @param lagMillis time within which all hosts must have applied a change, in milliseconds.
 * @param longPollMillis longest time for which a call waits for a change, in milliseconds.
 */
public class StoreCallSchedule(
    private val self: HostId,
    public val knowledge: CollectionKnowledge,
    private val lagMillis: Long,
    private val longPollMillis: Long,
    private val settings: StoreCallSettings = StoreCallSettings(),
) {
    /** Whether this host calls the store because its peers don't confirm its knowledge. */
    public var takesOver: Boolean = false
        private set
    private var lastCallAtMillis = Long.MIN_VALUE
    private var justChanged = false
    private var rankedHosts: Collection<HostId> = emptyList()
    private var rank = 0

    /** Returns what to do next, given the [live] hosts and whether this host [isKnown] to have received any object. */
    public fun next(nowMillis: Long, live: Collection<HostId>, isKnown: Boolean): StoreCall {
        if (live.size <= settings.smallFleet) return call(nowMillis, longPollMillis)
        updateRank(live)
        val watchMillis = minOf(longPollMillis, settings.watchMillis)
        if (rank < settings.watchers) return call(nowMillis, alternatingMillis(nowMillis, watchMillis))
        val untilDueMillis = dueAgeMillis(live.size) - knowledge.ageMillis(nowMillis)
        if (untilDueMillis <= 0 || !isKnown) {
            takesOver = true
            return call(nowMillis, CHECK_MILLIS)
        }
        if (takesOver && knowledge.confirmedByPeersAtMillis <= lastCallAtMillis) return call(nowMillis, watchMillis)
        takesOver = false
        return StoreCall.Delegate(untilDueMillis.coerceAtMost(settings.decisionMillis))
    }

    /** Records a response that this host has applied: as of [atMillis] and [revision], with changes if [changed]. */
    public fun recordResponse(atMillis: Long, revision: Long, changed: Boolean) {
        knowledge.confirm(atMillis, revision)
        justChanged = changed
    }

    /**
     * Returns the wait of a watcher, in milliseconds: shorter by rank if its last response came at the same time as that of
     * another watcher, as it does after a change. The responses then alternate.
     */
    private fun alternatingMillis(nowMillis: Long, watchMillis: Long): Long {
        val isAligned = justChanged || nowMillis - knowledge.confirmedByPeersAtMillis < watchMillis / (2 * settings.watchers)
        return if (isAligned) watchMillis * (rank + 1) / settings.watchers else watchMillis
    }

    /** Ranks this host again if the [live] hosts have changed. */
    private fun updateRank(live: Collection<HostId>) {
        if (live == rankedHosts) return
        rankedHosts = live
        rank = storeRank(self, live)
    }

    private fun call(nowMillis: Long, waitMillis: Long): StoreCall {
        lastCallAtMillis = nowMillis
        return knowledge.revision?.let { StoreCall.Watch(it, waitMillis) } ?: StoreCall.ListAll
    }

    /** Returns the age of the knowledge, in milliseconds, at which this host takes over. */
    private fun dueAgeMillis(hostCount: Int): Long {
        val others = rank - settings.watchers - settings.backups
        if (others < 0) return (lagMillis * settings.backupAgePart).toLong()
        val place = others.toDouble() / (hostCount - settings.watchers - settings.backups)
        return (lagMillis * (settings.firstAgePart + (settings.lastAgePart - settings.firstAgePart) * place)).toLong()
    }

    private companion object {
        /** Wait of a call that only checks for changes, in milliseconds; the shortest that a store accepts. */
        const val CHECK_MILLIS = 1L
    }
}

/**
 * Settings of [StoreCallSchedule]; ages are parts of the time within which a change must be applied.
 *
 * @property smallFleet maximum fleet size at which all hosts watch; up to this size, the additional calls cost less than the
 * delay of receiving changes from peers.
 * @property watchers number of watching hosts in a larger fleet; tolerates two simultaneous failures.
 * @property backups number of hosts that are the first to take over if the watchers fail.
 * @property watchMillis longest wait of a watch in a larger fleet, in milliseconds; the watchers together confirm what all hosts
 * know several times within the allowed lag.
 * @property backupAgePart age at which the backups take over; more than the knowledge of any host reaches while the watchers
 * work.
 * @property firstAgePart age at which the first of all other hosts take over; what a backup learns has reached most of them.
 * @property lastAgePart age at which the last hosts take over; leaves time for a response, and to pass it on to hosts that the
 * store rejects.
 * @property decisionMillis longest time between two decisions of a host that relies on its peers, in milliseconds; a tenth of
 * the time within which changes must be applied.
 */
public data class StoreCallSettings(
    public val smallFleet: Int = 12,
    public val watchers: Int = 3,
    public val backups: Int = 4,
    public val watchMillis: Long = 2_000,
    public val backupAgePart: Double = 0.6,
    public val firstAgePart: Double = 0.7,
    public val lastAgePart: Double = 0.8,
    public val decisionMillis: Long = 250,
)
