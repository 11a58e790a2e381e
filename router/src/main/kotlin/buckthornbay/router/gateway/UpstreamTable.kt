package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.load.Candidate
import buckthornbay.core.load.EngineLoad
import buckthornbay.core.load.EngineLoadSettings
import buckthornbay.core.load.PlainLoad
import buckthornbay.core.load.PrefixCacheModel
import buckthornbay.core.load.SendOutcome
import buckthornbay.core.load.UpstreamTrust
import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.routing.RouteTable
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.ZoneId

/** One incarnation of an upstream, and what this host has learned about it. */
internal class UpstreamState(val entry: UpstreamEntry, val candidate: Candidate, private val clock: Clock) {
    /** When anything last came from the upstream, in milliseconds. */
    var lastActivityMillis: Long = clock.nowMillis()
        private set

    /** Attempts that have not ended, so that all of them can be moved when the upstream falls silent. */
    val attempts = LinkedHashSet<Attempt>()

    fun recordActivity() {
        lastActivityMillis = clock.nowMillis()
    }

    fun ended(attempt: Attempt, outcome: SendOutcome) {
        attempts.remove(attempt)
        val nowMillis = clock.nowMillis()
        candidate.load.ended(nowMillis, attempt.id, outcome)
        candidate.trust.note(nowMillis, outcome)
    }
}

/** The upstreams by service, with what this host has learned about each; kept in step with the registry. */
internal class UpstreamTable(
    private val registry: UpstreamRegistry,
    private val regionOfZone: (ZoneId) -> RegionId?,
    private val clock: Clock,
    private val liveHosts: () -> Int,
) {
    private val states = HashMap<UpstreamId, UpstreamState>()
    private val byService = HashMap<ServiceId, List<UpstreamState>>()

    /** The table of the configuration in force; it tells engines from plain services. */
    var routes: RouteTable? = null

    /** Returns the upstreams of [service] that may get new work. */
    fun usable(service: ServiceId): List<UpstreamState> = byService.getOrPut(service) { registry.usable(service).map(::stateOf) }

    /** All upstreams that this host has sent something to or may send to. */
    fun all(): Collection<UpstreamState> = states.values

    /** Takes over what changed in the registry. */
    fun refresh() {
        byService.clear()
        states.values.removeIf { state -> registry.find(state.entry.id)?.sameIncarnation(state.entry) != true }
    }

    private fun stateOf(entry: UpstreamEntry): UpstreamState = states.getOrPut(entry.id) { newState(entry) }

    private fun newState(entry: UpstreamEntry): UpstreamState {
        val engine = routes?.service(entry.service)?.engine
        val load = if (engine == null) PlainLoad(entry.slots) else EngineLoad(EngineLoadSettings().forHosts(liveHosts()))
        val cache = engine?.let { PrefixCacheModel() }
        return UpstreamState(entry, Candidate(entry.id, regionOfZone(entry.zone), load, UpstreamTrust(), cache), clock)
    }

    private fun UpstreamEntry.sameIncarnation(other: UpstreamEntry): Boolean =
        address == other.address && bornAtMillis == other.bornAtMillis && service == other.service
}
