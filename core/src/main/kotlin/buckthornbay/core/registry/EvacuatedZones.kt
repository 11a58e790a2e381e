package buckthornbay.core.registry

import buckthornbay.protocol.ZoneId

/**
 * The availability zones that operators evacuate: their upstreams get no new requests, while what runs there goes on. Hosts in
 * such a zone go on serving callers.
 */
public class EvacuatedZones {
    private val zones = LinkedHashSet<ZoneId>()

    /** Whether the list has been received at least once. */
    public var isLoaded: Boolean = false
        private set

    /** Store revision of the latest change; increases with each applied change. */
    public var revision: Long = 0
        private set

    /** The evacuated zones, in no particular order. */
    public val all: Set<ZoneId> get() = zones

    public operator fun contains(zone: ZoneId): Boolean = zone in zones

    /** Replaces the list by [evacuated] as of [revision]; ignores a revision older than the current one. */
    public fun replaceAll(evacuated: Set<ZoneId>, revision: Long) {
        if (isLoaded && revision < this.revision) return
        isLoaded = true
        this.revision = revision
        zones.clear()
        zones += evacuated
    }

    /** Records whether [zone] is evacuated as of [revision]; ignores a revision older than the current one. */
    public fun set(zone: ZoneId, isEvacuated: Boolean, revision: Long) {
        if (revision < this.revision) return
        this.revision = revision
        if (isEvacuated) zones += zone else zones -= zone
    }
}
