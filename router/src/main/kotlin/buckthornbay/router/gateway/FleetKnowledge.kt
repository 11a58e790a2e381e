package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.routing.RouteTable
import buckthornbay.core.wire.FleetFormat
import buckthornbay.protocol.UpstreamId
import buckthornbay.store.CollectionChange
import buckthornbay.store.CollectionObject
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonElement

/**
 * The configuration and the registered upstreams that this host knows, from the store or from a peer.
 *
 * The configuration's version only rises. Objects that can't be read are left out with a line in the log; the others hold.
 */
internal class FleetKnowledge(
    private val format: FleetFormat,
    private val registry: UpstreamRegistry,
    private val clock: Clock,
    private val log: DecisionLog,
    private val changed: () -> Unit,
) {
    /** The routes in force, or null while no configuration is known. */
    var routes: RouteTable? = null
        private set

    /** The configuration as it was read, for peers. */
    var configuration: JsonElement? = null
        private set

    /** Whether the list of upstreams was read once. */
    var registryKnown = false
        private set

    private val registrations = RegistrationLog()

    val configurationVersion: Long get() = routes?.configuration?.version ?: 0
    val registryRevision: Long get() = registry.revision

    /** Returns what a peer misses whose registrations are of [revision]. */
    fun registrationsSince(revision: Long): RegistrationChanges = registrations.since(revision, registry.revision)

    /** Takes in a configuration; one that is not newer than what is known changes nothing. */
    fun offerConfiguration(value: JsonElement, source: String) {
        val offered = format.configuration(value).getOrElse { problem ->
            return log.warning("event=configuration_unreadable source=$source reason=\"$problem\"")
        }
        if (offered.version <= configurationVersion) return
        routes = RouteTable(offered)
        configuration = value
        log.stateChange("event=configuration_in_force version=${offered.version} routes=${offered.routes.size} source=$source")
        changed()
    }

    /** Takes in the whole list of upstreams as of [revision]. */
    fun replaceRegistrations(objects: List<CollectionObject>, revision: Long, source: String) {
        if (registryKnown && revision < registry.revision) return
        registrations.replaceAll(objects, revision)
        registry.replaceAll(clock.nowMillis(), objects.mapNotNull(::entryOf), revision)
        registryKnown = true
        log.stateChange("event=upstreams_listed count=${objects.size} revision=$revision source=$source")
        changed()
    }

    /** Takes in [changes] of the list of upstreams up to [revision]. */
    fun applyRegistrations(changes: List<CollectionChange>, revision: Long) {
        if (changes.isEmpty()) return
        changes.forEach { apply(it, revision) }
        changed()
    }

    private fun apply(change: CollectionChange, revision: Long) {
        when (change) {
            is CollectionChange.Put -> {
                registrations.put(change.stored, revision)
                val entry = entryOf(change.stored)
                if (entry == null) return registry.removed(clock.nowMillis(), UpstreamId(change.stored.name), revision)
                registry.put(entry, revision)
                log.stateChange("event=upstream_registered upstream=${entry.id} draining=${entry.draining} revision=$revision")
            }
            is CollectionChange.Removed -> {
                registrations.remove(change.name, revision)
                registry.removed(clock.nowMillis(), UpstreamId(change.name), revision)
                log.stateChange("event=upstream_removed upstream=${change.name} revision=$revision")
            }
        }
    }

    private fun entryOf(stored: CollectionObject): UpstreamEntry? =
        format.registration(stored.name, stored.value).getOrElse { problem ->
            log.warning("event=registration_unreadable upstream=${stored.name} reason=\"$problem\"")
            null
        }
}
