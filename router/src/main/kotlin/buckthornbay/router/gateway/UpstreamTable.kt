package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.load.Candidate
import buckthornbay.core.load.EngineLoad
import buckthornbay.core.load.EngineOccupancy
import buckthornbay.core.load.PlainLoad
import buckthornbay.core.load.PrefixCacheModel
import buckthornbay.core.load.RateLimitedLoad
import buckthornbay.core.load.SendOutcome
import buckthornbay.core.load.UpstreamReliability
import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.registry.UpstreamNotices
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.routing.RouteTable
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.ZoneId

/** State of one incarnation of an upstream: its observed load, its reliability and the attempts in progress. */
internal class UpstreamState(val entry: UpstreamEntry, val candidate: Candidate, private val clock: Clock) {
    /** Time of the last data from the upstream, in milliseconds; at first the time at which this state was created. */
    var lastActivityMillis: Long = clock.nowMillis()
        private set

    /** Attempts in progress; those that may be retried are moved to other upstreams if this one goes silent. */
    val attempts = LinkedHashSet<Attempt>()

    private val breaks = ArrayDeque<Long>()

    /** Times at which the latest responses in progress broke off, in milliseconds, oldest first. */
    val breaksAtMillis: List<Long> get() = breaks.toList()

    fun recordActivity() {
        lastActivityMillis = clock.nowMillis()
    }

    /** Records that the connection of a response in progress was lost. */
    fun recordBreak() {
        breaks.addLast(clock.nowMillis())
        if (breaks.size > MAX_BREAKS) breaks.removeFirst()
    }

    fun ended(attempt: Attempt, outcome: SendOutcome) {
        attempts.remove(attempt)
        val nowMillis = clock.nowMillis()
        candidate.load.ended(nowMillis, attempt.id, outcome)
        candidate.reliability.record(nowMillis, outcome)
    }

    private companion object {
        /** Number of remembered breaks; a few at the same moment tell that the process has ended. */
        const val MAX_BREAKS = 8
    }
}

/** Upstreams by service with their [UpstreamState], kept in sync with the registry. */
internal class UpstreamTable(
    private val registry: UpstreamRegistry,
    private val regionOfZone: (ZoneId) -> RegionId?,
    private val clock: Clock,
    private val notices: UpstreamNotices,
    private val occupancy: EngineOccupancy,
    private val hostFraction: () -> Double,
    private val firstCredit: () -> Double,
    private val ownLimit: (UpstreamEntry, nowMillis: Long) -> Double?,
) {
    private val states = HashMap<UpstreamId, UpstreamState>()
    private val byService = HashMap<ServiceId, List<Candidate>>()
    private val slotsByService = HashMap<ServiceId, Map<UpstreamId, Int>>()

    /** Availability zones whose upstreams get no new requests. */
    var evacuatedZones: Set<ZoneId> = emptySet()

    /** Routes of the current configuration, which determine whether a service is an engine or a plain service. */
    var routes: RouteTable? = null

    /** Returns the upstreams of [service] that accept new requests. */
    fun candidates(service: ServiceId): List<Candidate> = byService.getOrPut(service) {
        registry.usable(service).filterNot { it.zone in evacuatedZones }.map { stateOf(it).candidate }
    }

    /** Returns the slots of each upstream of [service] that accepts new requests. */
    fun slots(service: ServiceId): Map<UpstreamId, Int> =
        slotsByService.getOrPut(service) { candidates(service).associate { it.id to stateOf(it).entry.slots } }

    /** Returns the state of the upstream of [candidate], which [candidates] has returned. */
    fun stateOf(candidate: Candidate): UpstreamState = states.getValue(candidate.id)

    /** Returns the state of all upstreams that have been considered for a request since they registered. */
    fun all(): Collection<UpstreamState> = states.values

    /** Applies changes of the registry and drops the state of upstreams that left it or registered a new incarnation. */
    fun refresh() {
        byService.clear()
        slotsByService.clear()
        states.values.removeIf { state -> registry.find(state.entry.id)?.sameIncarnation(state.entry) != true }
    }

    private fun stateOf(entry: UpstreamEntry): UpstreamState = states.getOrPut(entry.id) { newState(entry) }

    private fun newState(entry: UpstreamEntry): UpstreamState {
        val engine = routes?.service(entry.service)?.engine
        val load = RateLimitedLoad(
            if (engine == null) PlainLoad(entry.slots) else engineLoadOf(entry),
            firstCredit,
        ) { nowMillis -> ownLimit(entry, nowMillis) }
        val cache = engine?.let { PrefixCacheModel() }
        val candidate = Candidate(entry.id, regionOfZone(entry.zone), load, UpstreamReliability(), cache, entry.softwareVersion) {
            notices.pausedUntilMillis(entry)
        }
        return UpstreamState(entry, candidate, clock)
    }

    private fun engineLoadOf(entry: UpstreamEntry) = EngineLoad(
        slotWaitMillis = { nowMillis -> occupancy.slotWaitMillis(nowMillis, entry.service, entry.id) },
        hostFraction = hostFraction,
    )

    private fun UpstreamEntry.sameIncarnation(other: UpstreamEntry): Boolean = address == other.address &&
        startedAtMillis == other.startedAtMillis &&
        service == other.service &&
        softwareVersion == other.softwareVersion
}
