package buckthornbay.core.membership

import buckthornbay.protocol.HostId

/**
 * Decides whether this host watches the store itself or learns from peers that do.
 *
 * It answers fleets whose store is paid by the call: a few hosts watch, whatever the fleet's size. Where none of them has
 * heard from the store lately, as far as the news that reach this host tell, it watches itself, so that a fault of the chosen
 * ones or a partition from them costs a moment and not the configuration.
 */
public class StoreWatcherSelection(private val self: HostId, private val settings: StoreWatcherSettings = StoreWatcherSettings()) {
    private var storeHeardAtMillis = Long.MIN_VALUE / 2

    /** Notes that this host heard from the store. */
    public fun recordStoreContact(nowMillis: Long) {
        storeHeardAtMillis = maxOf(storeHeardAtMillis, nowMillis)
    }

    /** Takes in that a peer knew of a contact with the store [contactAgeMillis] ago. */
    public fun recordPeerContact(nowMillis: Long, contactAgeMillis: Long) {
        storeHeardAtMillis = maxOf(storeHeardAtMillis, nowMillis - contactAgeMillis)
    }

    /** Returns how long ago any host that this one has news of heard from the store, in milliseconds. */
    public fun contactAgeMillis(nowMillis: Long): Long = (nowMillis - storeHeardAtMillis).coerceAtMost(settings.longestAgeMillis)

    /** Returns whether this host should watch, of the [live] hosts that it knows. */
    public fun shouldWatch(nowMillis: Long, live: Collection<HostId>): Boolean {
        if (live.size <= settings.smallFleet || contactAgeMillis(nowMillis) > settings.staleMillis) return true
        return self in rendezvousOrder(DUTY, live).take(settings.watchers)
    }

    private companion object {
        const val DUTY = "store-watch"
    }
}

/**
 * Constants of [StoreWatcherSelection].
 *
 * @property smallFleet hosts up to which all watch; their calls cost less than the detour of the news.
 * @property watchers hosts that watch in a larger fleet; two may fail at once.
 * @property staleMillis age of the last contact beyond which a host watches itself, in milliseconds: a watch of four seconds
 * that waits in vain, and the news of it.
 * @property longestAgeMillis most that is told as an age, in milliseconds.
 */
public data class StoreWatcherSettings(
    public val smallFleet: Int = 12,
    public val watchers: Int = 4,
    public val staleMillis: Long = 6_000,
    public val longestAgeMillis: Long = 3_600_000,
)
