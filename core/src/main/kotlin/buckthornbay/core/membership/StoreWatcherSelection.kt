package buckthornbay.core.membership

import buckthornbay.protocol.HostId

/**
 * The selection of the hosts that watch the store; all other hosts receive changes from their peers.
 *
 * Store calls are billed individually, so the number of watchers does not grow with the fleet. If this host has had no recent
 * contact with the store and no peer reports one, it watches the store itself. A failure of the watchers, or a partition from
 * them, therefore only delays configuration changes for a short time.
 */
public class StoreWatcherSelection(
    private val self: HostId,
    private val settings: StoreWatcherSettings = StoreWatcherSettings(),
) {
    private var lastContactMillis = Long.MIN_VALUE / 2

    /** Records a response from the store to this host. */
    public fun recordStoreContact(nowMillis: Long) {
        lastContactMillis = maxOf(lastContactMillis, nowMillis)
    }

    /** Records that a peer reported a contact with the store [contactAgeMillis] ago. */
    public fun recordPeerContact(nowMillis: Long, contactAgeMillis: Long) {
        lastContactMillis = maxOf(lastContactMillis, nowMillis - contactAgeMillis)
    }

    /** Returns the age of the latest known contact of any host with the store, in milliseconds, up to the reporting limit. */
    public fun contactAgeMillis(nowMillis: Long): Long =
        (nowMillis - lastContactMillis).coerceAtMost(settings.maxReportedAgeMillis)

    /** Returns whether this host should watch the store, given the [live] hosts. */
    public fun shouldWatch(nowMillis: Long, live: Collection<HostId>): Boolean {
        if (live.size <= settings.smallFleet || contactAgeMillis(nowMillis) > settings.staleMillis) return true
        return self in rendezvousOrder(RENDEZVOUS_KEY, live).take(settings.watchers)
    }

    private companion object {
        const val RENDEZVOUS_KEY = "store-watch"
    }
}

/**
 * Settings of [StoreWatcherSelection].
 *
 * @property smallFleet maximum fleet size at which all hosts watch; up to this size, the additional calls cost less than the
 * delay of receiving changes from peers.
 * @property watchers number of watching hosts in a larger fleet; tolerates two simultaneous failures.
 * @property staleMillis age of the latest contact above which a host watches the store itself, in milliseconds; covers a watch
 * call that returns without a change after four seconds, and the propagation to peers.
 * @property maxReportedAgeMillis upper bound of the reported contact age, in milliseconds.
 */
public data class StoreWatcherSettings(
    public val smallFleet: Int = 12,
    public val watchers: Int = 4,
    public val staleMillis: Long = 6_000,
    public val maxReportedAgeMillis: Long = 3_600_000,
)
