package buckthornbay.core.registry

import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.ZoneId

/**
 * What an upstream registered of itself.
 *
 * @property address IP number and port, joined by a colon.
 * @property slots requests that it runs at once.
 * @property draining whether it is about to leave and must get no new work.
 * @property startedAtMillis Unix time at which it started, in milliseconds; another value is another incarnation under the same
 * id.
 * @property sequence rises with each thing that this incarnation says; null where it is not told.
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
) {
    /** Whether this was said before [other], so that it must not replace it. */
    public fun isOlderThan(other: UpstreamEntry): Boolean {
        val born = compareValues(startedAtMillis, other.startedAtMillis)
        return born < 0 || (born == 0 && sequence != null && other.sequence != null && sequence < other.sequence)
    }
}

/**
 * The upstreams that registered themselves, and which of them may get new work.
 *
 * Registrations lapse while the store is out although the upstream lives, so one that vanishes around an outage stays usable
 * until [GRACE_AFTER_RETURN_MILLIS] after the store's return.
 */
public class UpstreamRegistry {
    private class Known(var entry: UpstreamEntry, var missingUntilMillis: Long? = null)

    private val known = LinkedHashMap<UpstreamId, Known>()
    private val left = LinkedHashMap<UpstreamId, UpstreamEntry>()
    private var storeLost = false
    private var storeBackAtMillis = Long.MIN_VALUE / 2

    /** Version of the registrations that this is; rises with each change taken in. */
    public var revision: Long = 0
        private set

    /** Returns the upstreams of [service] that may get new work. */
    public fun usable(service: ServiceId): List<UpstreamEntry> =
        known.values.filter { it.entry.service == service && !it.entry.draining }.map { it.entry }

    /** Returns the upstream [id], also one that is draining, or null where it is gone. */
    public fun find(id: UpstreamId): UpstreamEntry? = known[id]?.entry

    /** Returns all registrations. */
    public fun all(): List<UpstreamEntry> = known.values.map { it.entry }

    /** The store does not answer this host. */
    public fun storeLost() {
        storeLost = true
    }

    /** The store answers again. */
    public fun storeRegained(nowMillis: Long) {
        if (!storeLost) return
        storeLost = false
        storeBackAtMillis = nowMillis
    }

    /** Takes in the whole list as of [revision]; an older one than is known changes nothing. */
    public fun replaceAll(nowMillis: Long, entries: List<UpstreamEntry>, revision: Long) {
        if (revision < this.revision) return
        this.revision = revision
        entries.forEach(::put)
        val present = entries.map { it.id }.toSet()
        known.keys.filterNot { it in present }.forEach { remove(nowMillis, it) }
    }

    /** Takes in one registration or change as of [revision]. */
    public fun put(entry: UpstreamEntry, revision: Long) {
        if (revision < this.revision) return
        this.revision = revision
        put(entry)
    }

    /** Takes in that [id] is not registered any more as of [revision]. */
    public fun removed(nowMillis: Long, id: UpstreamId, revision: Long) {
        if (revision < this.revision) return
        this.revision = revision
        remove(nowMillis, id)
    }

    /** Drops the upstreams whose grace is over, and returns them. */
    public fun expire(nowMillis: Long): List<UpstreamId> {
        if (storeLost || nowMillis - storeBackAtMillis < GRACE_AFTER_RETURN_MILLIS) return emptyList()
        val gone = known.values.filter { known -> known.missingUntilMillis?.let { it <= nowMillis } == true }.map { it.entry.id }
        gone.forEach { known.remove(it) }
        return gone
    }

    /** Takes over [entry], unless a delayed write brought back what was said earlier. */
    private fun put(entry: UpstreamEntry) {
        val before = known[entry.id]?.entry ?: left[entry.id]
        if (before != null && entry.isOlderThan(before)) {
            known[entry.id]?.missingUntilMillis = null
            return
        }
        left.remove(entry.id)
        known[entry.id] = Known(entry)
    }

    private fun remove(nowMillis: Long, id: UpstreamId) {
        val upstream = known[id] ?: return
        if (upstream.entry.draining) {
            known.remove(id)
            rememberLeft(upstream.entry)
        } else if (upstream.missingUntilMillis == null) {
            upstream.missingUntilMillis = nowMillis + GRACE_MILLIS
        }
    }

    private fun rememberLeft(entry: UpstreamEntry) {
        left[entry.id] = entry
        if (left.size > MAX_LEFT) left.remove(left.keys.first())
    }

    public companion object {
        /**
         * How long an upstream stays usable that vanished without a word, in milliseconds: it serves for longer than that,
         * and a registration that lapsed in an outage which no call of this host met may be back by then.
         */
        public const val GRACE_MILLIS: Long = 1_500

        /**
         * How long after the store's return a lapsed registration may take to come back, in milliseconds, as the platform
         * says.
         */
        public const val GRACE_AFTER_RETURN_MILLIS: Long = 2_000

        /** Upstreams that left and are remembered, so that a delayed write does not bring them back. */
        private const val MAX_LEFT = 256
    }
}
