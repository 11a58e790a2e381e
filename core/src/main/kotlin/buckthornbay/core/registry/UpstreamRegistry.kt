package buckthornbay.core.registry

import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.ZoneId

/**
 * The registration of an upstream.
 *
 * @property address IP address and port, separated by a colon.
 * @property slots maximum number of concurrent requests.
 * @property draining whether the upstream is shutting down and must not receive new requests.
 * @property startedAtMillis Unix time at which the upstream started, in milliseconds; a different value means another incarnation
 * under the same id.
 * @property sequence sequence number that increases with each write of this incarnation; null if it is unknown.
 * @property coldLeftMillis time for which the upstream remains cold after this write, in milliseconds.
 * @property softwareVersion version of the upstream's software, which has no order; null if it is unknown.
 */
public data class UpstreamEntry(
    public val id: UpstreamId,
    public val service: ServiceId,
    public val address: String,
    public val zone: ZoneId,
    public val slots: Int,
    public val draining: Boolean,
    public val startedAtMillis: Long?,
    public val sequence: Long?,
    public val coldLeftMillis: Long = 0,
    public val softwareVersion: String? = null,
) {
    /** Identity of this incarnation in messages between hosts. */
    public val incarnation: String = "$id@$startedAtMillis"

    /** Returns whether this registration was written before [other] and therefore must not replace it. */
    public fun isOlderThan(other: UpstreamEntry): Boolean {
        val startOrder = compareValues(startedAtMillis, other.startedAtMillis)
        return startOrder < 0 || (startOrder == 0 && sequence != null && other.sequence != null && sequence < other.sequence)
    }
}

/**
 * The registered upstreams, and which of them may receive new requests.
 *
 * Registrations expire during a store outage even if the upstream is alive. An upstream whose registration disappears around an
 * outage therefore remains usable until [GRACE_AFTER_RECOVERY_MILLIS] after the store has recovered.
 *
 * @param notices what upstreams have stated to this host; one that is leaving is not used, even if its registration is ready.
 */
public class UpstreamRegistry(private val notices: UpstreamNotices = UpstreamNotices()) {
    private class Registration(var entry: UpstreamEntry, var graceEndsAtMillis: Long? = null)

    private val registrations = LinkedHashMap<UpstreamId, Registration>()
    private val tombstones = LinkedHashMap<UpstreamId, UpstreamEntry>()
    private var storeLost = false
    private var storeRecoveredAtMillis = Long.MIN_VALUE / 2

    /** Store revision of the registrations; increases with each applied change. */
    public var revision: Long = 0
        private set

    /** Returns the upstreams of [service] that may receive new requests. */
    public fun usable(service: ServiceId): List<UpstreamEntry> =
        registrations.values.map { it.entry }.filter { it.service == service && !it.draining && !notices.isLeaving(it) }

    /** Returns the upstream [id], even if it is draining, or null if it is unknown. */
    public fun find(id: UpstreamId): UpstreamEntry? = registrations[id]?.entry

    /**
     * Returns whether [upstream] is shutting down: it or its registration says so, or its registration is gone.
     *
     * A registration also goes a few heartbeats after a crash, when no response of the upstream is in progress any more. Around
     * an outage of the store its absence says nothing.
     */
    public fun isLeaving(nowMillis: Long, upstream: UpstreamEntry): Boolean {
        val registration = registrations[upstream.id] ?: return true
        val isGone = registration.graceEndsAtMillis != null && !isAroundOutage(nowMillis)
        return isGone || registration.entry.draining || notices.isLeaving(upstream)
    }

    /** Returns whether a later incarnation of [upstream] is registered. */
    public fun hasRestarted(upstream: UpstreamEntry): Boolean {
        val startedAtMillis = find(upstream.id)?.startedAtMillis ?: return false
        return upstream.startedAtMillis != null && startedAtMillis > upstream.startedAtMillis
    }

    /** Returns all registrations, including those in their grace period. */
    public fun all(): List<UpstreamEntry> = registrations.values.map { it.entry }

    /** Records that this host cannot reach the store. */
    public fun storeLost() {
        storeLost = true
    }

    /** Records that this host can reach the store again. */
    public fun storeRegained(nowMillis: Long) {
        if (!storeLost) return
        storeLost = false
        storeRecoveredAtMillis = nowMillis
    }

    /** Replaces all registrations with [entries] as of [revision]; ignores a revision older than the current one. */
    public fun replaceAll(nowMillis: Long, entries: List<UpstreamEntry>, revision: Long) {
        if (revision < this.revision) return
        this.revision = revision
        entries.forEach(::put)
        val present = entries.map { it.id }.toSet()
        registrations.keys.filterNot { it in present }.forEach { remove(nowMillis, it) }
    }

    /** Adds or updates one registration as of [revision]; ignores a revision older than the current one. */
    public fun put(entry: UpstreamEntry, revision: Long) {
        if (revision < this.revision) return
        this.revision = revision
        put(entry)
    }

    /** Records that the registration of [id] was removed as of [revision]; ignores a revision older than the current one. */
    public fun removed(nowMillis: Long, id: UpstreamId, revision: Long) {
        if (revision < this.revision) return
        this.revision = revision
        remove(nowMillis, id)
    }

    /**
     * Removes the upstreams whose grace period has ended, and returns them.
     *
     * Removes none during a store outage and within [GRACE_AFTER_RECOVERY_MILLIS] after it.
     */
    public fun expire(nowMillis: Long): List<UpstreamId> {
        if (isAroundOutage(nowMillis)) return emptyList()
        val expired = registrations.values
            .filter { registration -> registration.graceEndsAtMillis?.let { it <= nowMillis } == true }
            .map { it.entry.id }
        expired.forEach { registrations.remove(it) }
        return expired
    }

    private fun isAroundOutage(nowMillis: Long): Boolean =
        storeLost || nowMillis - storeRecoveredAtMillis < GRACE_AFTER_RECOVERY_MILLIS

    /** Stores [entry] unless it is a delayed write that is older than the known registration. */
    private fun put(entry: UpstreamEntry) {
        val previous = registrations[entry.id]?.entry ?: tombstones[entry.id]
        if (previous != null && entry.isOlderThan(previous)) {
            registrations[entry.id]?.graceEndsAtMillis = null
            return
        }
        tombstones.remove(entry.id)
        registrations[entry.id] = Registration(entry)
    }

    private fun remove(nowMillis: Long, id: UpstreamId) {
        val upstream = registrations[id] ?: return
        if (upstream.entry.draining) {
            registrations.remove(id)
            addTombstone(upstream.entry)
        } else if (upstream.graceEndsAtMillis == null) {
            upstream.graceEndsAtMillis = nowMillis + GRACE_MILLIS
        }
    }

    private fun addTombstone(entry: UpstreamEntry) {
        tombstones[entry.id] = entry
        if (tombstones.size > MAX_TOMBSTONES) tombstones.remove(tombstones.keys.first())
    }

    public companion object {
        /**
         * How long an upstream remains usable after its registration disappeared without draining, in milliseconds.
         *
         * Such an upstream continues to serve for longer than this. The registration may also have expired in a store outage
         * that this host did not observe, and may be renewed within this time.
         */
        public const val GRACE_MILLIS: Long = 1_500

        /** Maximum time until an expired registration is renewed after a store outage, in milliseconds; set by the platform. */
        public const val GRACE_AFTER_RECOVERY_MILLIS: Long = 2_000

        /** Maximum number of tombstones of drained upstreams; they keep a delayed write from registering an upstream again. */
        private const val MAX_TOMBSTONES = 256
    }
}
