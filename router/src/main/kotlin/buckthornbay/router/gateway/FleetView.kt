package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.registry.EvacuatedZones
import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.routing.RouteTable
import buckthornbay.core.wire.FleetFormat
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.ZoneId
import buckthornbay.store.CollectionChange
import buckthornbay.store.CollectionObject
import buckthornbay.store.StoreRevision
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonElement

/**
 * This host's view of the configuration and the registered upstreams, received from the store or from a peer.
 *
 * The configuration version only increases. Objects that cannot be decoded are skipped with a log line and don't affect the
 * others.
 */
internal class FleetView(
    private val format: FleetFormat,
    private val registry: UpstreamRegistry,
    private val clock: Clock,
    private val log: DecisionLog,
    private val onChange: () -> Unit,
) {
    /** Routes of the current configuration, or null before the first configuration is received. */
    var routes: RouteTable? = null
        private set

    /** The configuration in its encoded form, for peers. */
    var configuration: JsonElement? = null
        private set

    /** Whether the list of upstreams has been received at least once. */
    var registryLoaded = false
        private set

    private val registrations = RegistrationLog()
    private val evacuated = EvacuatedZones()

    /** The availability zones whose upstreams get no new requests. */
    val evacuatedZones: Set<ZoneId> get() = evacuated.all

    /** Whether the list of evacuated zones has been received at least once. */
    val evacuationsLoaded: Boolean get() = evacuated.isLoaded

    val evacuationsRevision: Long get() = evacuated.revision

    val configurationVersion: Long get() = routes?.configuration?.version ?: 0
    val registryRevision: Long get() = registry.revision

    /** Returns the changes of registrations after [revision], for a peer that has this revision. */
    fun registrationsSince(revision: Long): RegistrationChanges = registrations.since(revision, registry.revision)

    /** Applies the configuration [value] if it is newer than the current one; ignores it otherwise. */
    fun offerConfiguration(value: JsonElement, source: String) {
        val offered = format.configuration(value).getOrElse { problem ->
            return log.warning("event=configuration_unreadable source=$source reason=\"$problem\"")
        }
        if (offered.version <= configurationVersion) return
        routes = RouteTable(offered)
        configuration = value
        log.stateChange("event=configuration_in_force version=${offered.version} routes=${offered.routes.size} source=$source")
        onChange()
    }

    /** Replaces the list of upstreams by that of [revision]; ignores a list older than the current one. */
    fun replaceRegistrations(objects: List<CollectionObject>, revision: Long, source: String) {
        if (registryLoaded && revision < registry.revision) return
        val nowMillis = clock.nowMillis()
        if (registryLoaded && StoreRevision.eraOf(revision) != StoreRevision.eraOf(registry.revision)) {
            // Upstreams that the copy lacks write themselves again, as after an outage.
            registry.storeLost()
            registry.storeRegained(nowMillis)
            log.stateChange("event=store_restored era=${StoreRevision.eraOf(revision)} source=$source")
        }
        val readable = objects.mapNotNull { stored -> entryOf(stored)?.let { stored to it } }
        registrations.replaceAll(readable.map { it.first }, revision)
        registry.replaceAll(nowMillis, readable.map { it.second }, revision)
        registryLoaded = true
        log.stateChange("event=upstreams_listed count=${objects.size} revision=$revision source=$source")
        onChange()
    }

    /** Applies [changes] to the list of upstreams, which then has [revision]; ignores changes up to an older revision. */
    fun applyRegistrations(changes: List<CollectionChange>, revision: Long) {
        if (changes.isEmpty() || revision < registry.revision) return
        changes.forEach { apply(it, revision) }
        onChange()
    }

    /** Replaces the list of evacuated zones by that of [revision]; ignores a list older than the current one. */
    fun replaceEvacuations(zones: Set<ZoneId>, revision: Long, source: String) =
        changeEvacuations(source) { evacuated.replaceAll(zones, revision) }

    /** Applies [changes] to the evacuated zones, whose list then has [revision]; ignores changes up to an older revision. */
    fun applyEvacuations(changes: List<CollectionChange>, revision: Long, source: String) = changeEvacuations(source) {
        changes.forEach { change ->
            when (change) {
                is CollectionChange.Put -> evacuated.set(ZoneId(change.stored.name), isEvacuated = true, revision)
                is CollectionChange.Removed -> evacuated.set(ZoneId(change.name), isEvacuated = false, revision)
            }
        }
    }

    private fun changeEvacuations(source: String, change: () -> Unit) {
        val before = evacuated.all.toSet()
        change()
        if (evacuated.all == before) return
        log.stateChange(
            "event=evacuations zones=${evacuated.all.joinToString(",")} revision=${evacuated.revision} source=$source",
        )
        onChange()
    }

    private fun apply(change: CollectionChange, revision: Long) {
        when (change) {
            is CollectionChange.Put -> {
                val entry = entryOf(change.stored) ?: return remove(change.stored.name, revision)
                registrations.put(change.stored, revision)
                registry.put(entry, revision)
                log.stateChange("event=upstream_registered upstream=${entry.id} draining=${entry.draining} revision=$revision")
            }
            is CollectionChange.Removed -> {
                remove(change.name, revision)
                log.stateChange("event=upstream_removed upstream=${change.name} revision=$revision")
            }
        }
    }

    private fun remove(name: String, revision: Long) {
        registrations.remove(name, revision)
        registry.removed(clock.nowMillis(), UpstreamId(name), revision)
    }

    /** Returns the decoded registration, or null if it names no upstream; such registrations are not passed on to peers. */
    private fun entryOf(stored: CollectionObject): UpstreamEntry? {
        val decoded = if (stored.value.toString().length > MAX_REGISTRATION_CHARS) {
            Err("it is longer than $MAX_REGISTRATION_CHARS characters")
        } else {
            format.registration(stored.name, stored.value)
        }
        return decoded.getOrElse { problem ->
            log.warning("event=registration_unreadable upstream=${stored.name} reason=\"$problem\"")
            null
        }
    }

    private companion object {
        /**
         * Longest registration, in characters of JSON. Upstreams write some 200; peers send each other all registrations in one
         * message, which a few very long ones would make too large.
         */
        const val MAX_REGISTRATION_CHARS = 16_384
    }
}
