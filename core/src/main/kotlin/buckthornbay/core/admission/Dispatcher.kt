package buckthornbay.core.admission

import buckthornbay.core.Clock
import buckthornbay.core.load.Candidate
import buckthornbay.core.load.Choice
import buckthornbay.core.load.HostPace
import buckthornbay.core.load.Placement
import buckthornbay.core.load.PlacementDecision
import buckthornbay.core.load.SendOutcome
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.load.UpstreamLoad
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId

/** What kept a queued request from being sent when it was last looked at. */
public enum class HoldReason {
    /** It was not looked at: the host's limit to all engines is reached, or requests of its workspace are queued before it. */
    NOT_OFFERED,

    /** This host has as much work pending at the engines as it may have. */
    PENDING_LIMIT,

    /** Its workspace yields to one that is queued on another host. */
    YIELDING,

    /** No upstream has room. */
    NO_ROOM,

    /** An upstream without room is expected to be better than those that have room. */
    AWAITS_BEST,
}

/** A caller's request that a [Dispatcher] queues and sends. */
public interface DispatchedRequest {
    public val id: String
    public val service: ServiceId

    /** Workspace that the request is charged to; null for public routes. */
    public val workspaceId: WorkspaceId?

    /** Tokens that the request asks an engine for; null for plain services. */
    public val demand: TokenDemand?
    public val rank: WaitingRank

    /** The only regions whose upstreams may get the request; null if all may. */
    public val homeRegions: Set<RegionId>? get() = null

    /** The only software versions whose upstreams may get the request; null if all may. */
    public val softwareVersions: Set<String>? get() = null

    /** Whether its workspace asks for less than its share, on all hosts together. */
    public val isBelowShare: Boolean get() = false

    /** Upstreams to which the request was sent before. */
    public val triedUpstreams: Set<UpstreamId>

    /** The queue entry of this request, set by the dispatcher; null while it is not queued. */
    public var queueEntry: QueuedRequest<DispatchedRequest>?

    /** What kept this request queued, set by the dispatcher; null if it was never queued. */
    public var heldBy: HoldReason?

    /** Returns the time until which the request may stay queued, in milliseconds. */
    public fun queueUntilMillis(): Long

    /** Returns whether the request may stay queued until the upstream with the lowest cost has room. */
    public fun mayWaitForBestUpstream(nowMillis: Long): Boolean

    /** Sends the request to the upstream of [choice]. */
    public fun send(choice: Choice)

    /**
     * Ends the request because no upstream can serve it.
     *
     * @param retryAfterMillis time after which the cause ends, in milliseconds; null if it depends on the load.
     */
    public fun refuse(reason: String, retryAfterMillis: Long? = null)
}

/**
 * What a host assumes about the upstreams of a service, for logs.
 *
 * @property pendingTokens work that this host has sent to engines and whose response has not begun, in tokens.
 * @property pendingLimitTokens limit to [pendingTokens]; [Double.MAX_VALUE] if there is none.
 * @property fleetWork work that all hosts have sent to the engines of the service.
 * @property reportingUpstreams upstreams whose latest load report is recent.
 * @property freeSlots slots without a request, at the reporting upstreams.
 * @property allowedPerSecond work that this host may send, per second: tokens for engines, requests otherwise.
 */
public data class CapacityView(
    public val upstreams: Int,
    public val reportingUpstreams: Int,
    public val freeSlots: Int,
    public val allowedPerSecond: Double,
    public val pendingTokens: Double,
    public val pendingLimitTokens: Double,
    public val fleetWork: EngineWork,
)

/**
 * Largest fleet, in hosts, in which the limits to single engines are enough: a host's part of an engine covers a large request of
 * 12,000 tokens in less than two seconds.
 */
internal const val MAX_HOSTS_LIMITED_BY_ENGINES = 12

/**
 * The request queues by service, which send to upstreams according to placement and fair queueing.
 *
 * @param candidates upstreams of a service that may get new requests.
 * @param accounts work by workspace and at the engines, and the workspaces with queued requests on other hosts.
 * @param hostCount number of live hosts of the fleet.
 * @param pendingLimit work that this host may have pending at the engines of a service, in tokens; requests within the share of
 * their workspace may exceed it.
 */
public class Dispatcher(
    private val candidates: (ServiceId) -> List<Candidate>,
    private val accounts: WorkspaceAccounts,
    private val placement: Placement,
    private val clock: Clock,
    private val hostCount: () -> Int = { 1 },
    private val pendingLimit: (ServiceId) -> Double = { Double.MAX_VALUE },
) {
    private val queues = HashMap<ServiceId, FairQueue<DispatchedRequest>>()
    private val paces = HashMap<ServiceId, HostPace>()

    private val pendingLimits = HashMap<ServiceId, PendingLimit>()
    private val pendingSends = PendingSends(accounts, clock)
    private var isLargeFleet = false
    private var hostsCountedAtMillis = Long.MIN_VALUE / 2

    /** Number of queued requests of workspaces below their share, by service. */
    private val belowShareCounts = HashMap<ServiceId, Int>()

    /** Services whose requests are being sent; requests that fail at once may cause further ones to be placed meanwhile. */
    private val placing = HashSet<ServiceId>()

    /** Queued requests that wait for an upstream that is better than those that have room, by id. */
    private val awaited = HashMap<String, AwaitedUpstream>()

    /**
     * A [decision] to wait for an upstream, which is not made again at each event: a host with many queued requests would spend
     * all its time on it.
     */
    private class AwaitedUpstream(private val decision: PlacementDecision.Await, private val decidedAtMillis: Long) {
        fun isCurrent(nowMillis: Long): Boolean = nowMillis - decidedAtMillis < REEXAMINE_MILLIS && decision.isCurrent(nowMillis)
    }

    /** The limit to pending work of a service, in [tokens]. */
    private class PendingLimit(val tokens: Double, val asOfMillis: Long)

    /** Number of queued requests of all services. */
    public val waitingCount: Int get() = queues.values.sumOf { it.size }

    /** Returns the workspaces that have a request queued at this host for at least [millis] milliseconds. */
    public fun workspacesWaitingFor(millis: Long): Set<WorkspaceId> {
        val sinceMillis = clock.nowMillis() - millis
        return queues.values.flatMap { it.workspacesWaitingSince(sinceMillis) }.toSet()
    }

    /** Returns what this host assumes about the upstreams of [service]. */
    public fun capacityOf(service: ServiceId): CapacityView {
        val nowMillis = clock.nowMillis()
        val views = candidates(service).map { it.load.view(nowMillis) }
        return CapacityView(
            upstreams = views.size,
            reportingUpstreams = views.count { it.freeSlots != null },
            freeSlots = views.sumOf { it.freeSlots ?: 0 },
            allowedPerSecond = views.sumOf { it.allowedPerSecond },
            pendingTokens = accounts.engineWork.ownWork(nowMillis, service).pendingTokens,
            pendingLimitTokens = pendingLimit(service),
            fleetWork = accounts.engineWork.fleetWork(nowMillis, service),
        )
    }

    /** Queues [request] for its first or a further attempt and sends it if an upstream has room; may refuse it at once. */
    public fun submit(request: DispatchedRequest) {
        if (candidatesFor(request).isEmpty()) return request.refuse(unservableReason(request))
        val queue = queueFor(request.service)
        if (request.rank != WaitingRank.DUE && queue.sizeOf(request.workspaceId) >= MAX_WAITING_BEYOND_SHARE) {
            return request.refuse("the workspace asks for more than its share and others of its requests wait")
        }
        val waiting =
            QueuedRequest(request.id, request.workspaceId, request.rank, clock.nowMillis(), request.queueUntilMillis(), request)
        request.queueEntry = waiting
        request.heldBy = HoldReason.NOT_OFFERED
        queue.add(waiting)
        if (request.isBelowShare) belowShareCounts.merge(request.service, 1, Int::plus)
        place(request.service)
        refuseUnservable(request.service)
        refuseWhileUnusable(request.service)
    }

    /** Removes [request] from its queue, if it is queued. */
    public fun withdraw(request: DispatchedRequest) {
        val waiting = request.queueEntry ?: return
        request.queueEntry = null
        if (request.isBelowShare) belowShareCounts.merge(request.service, -1, Int::plus)
        awaited.remove(request.id)
        queueFor(request.service).remove(waiting)
    }

    /** Records that the response to the latest attempt of request [id] has begun. */
    public fun responseStarted(id: String): Unit = pendingSends.responseStarted(id)

    /** Records that the latest attempt of request [id] ended with [outcome]; work that has not begun is not charged. */
    public fun attemptEnded(id: String, outcome: SendOutcome): Unit = pendingSends.attemptEnded(id, outcome)

    /** Sends the queued requests for which an upstream of [service] has room. */
    public fun place(service: ServiceId) {
        val queue = queues[service] ?: return
        if (queue.size == 0 || !placing.add(service)) return
        try {
            queue.placeWhile(clock.nowMillis(), { hasPace(service) || mayExceedPace(service) }) { waiting ->
                (waiting.request.isBelowShare || hasPace(service)) && placeOne(waiting.request)
            }
        } finally {
            placing.remove(service)
        }
    }

    /**
     * Sends queued requests of all services after a change of the upstreams, and refuses those whose service has no usable
     * upstream left.
     */
    public fun placeAll() {
        queues.keys.toList().forEach { service ->
            val queue = queueFor(service)
            val isUnusable = candidates(service).isEmpty()
            val unservable = if (isUnusable) queue.removeAll() else queue.all().filter { candidatesFor(it.request).isEmpty() }
            unservable.map { it.request }.forEach { request ->
                withdraw(request)
                request.refuse(unservableReason(request))
            }
            place(service)
            refuseWhileUnusable(service)
        }
    }

    /**
     * Refuses requests that would wait in vain, because no upstream of [service] may be used in time.
     *
     * Load: all upstreams of a service reject requests and name a pause, or none accepts connections.
     */
    private fun refuseWhileUnusable(service: ServiceId) {
        if (service in placing) return
        val nowMillis = clock.nowMillis()
        val bySelection = queueFor(service).all().groupBy { it.request.homeRegions to it.request.softwareVersions }
        for (waiting in bySelection.values) {
            val usableFromMillis = candidatesFor(waiting.first().request).minOfOrNull { it.usableFromMillis } ?: continue
            if (usableFromMillis <= nowMillis) continue
            waiting.filter { it.queueUntilMillis < usableFromMillis }.map { it.request }.forEach { request ->
                withdraw(request)
                request.refuse("all upstreams of the service pause or can't be reached", usableFromMillis - nowMillis)
            }
        }
    }

    /**
     * Refuses new requests that would wait in vain, because all upstreams of [service] state request rate limits.
     *
     * Load: most requests of a service exceed what its upstreams take, for many seconds.
     */
    private fun refuseUnservable(service: ServiceId) {
        if (service in placing) return
        val requestsPerSecond = statedRequestsPerSecond(service) ?: return
        queueFor(service).unservable(clock.nowMillis(), requestsPerSecond).map { it.request }
            .filter { it.triedUpstreams.isEmpty() }
            .forEach { request ->
                withdraw(request)
                request.refuse("the upstreams' request rate limits leave no room in time")
            }
    }

    /** Returns the rate at which this host may send to [service]; null if an upstream states no limit. */
    private fun statedRequestsPerSecond(service: ServiceId): Double? {
        val nowMillis = clock.nowMillis()
        return candidates(service).sumOf { it.load.view(nowMillis).requestsPerSecond ?: return null }
    }

    private fun placeOne(request: DispatchedRequest): Boolean {
        val nowMillis = clock.nowMillis()
        val mayWait = request.mayWaitForBestUpstream(nowMillis)
        val awaits = mayWait && awaited[request.id]?.isCurrent(nowMillis) == true
        request.heldBy = heldBackBy(nowMillis, request) ?: if (awaits) HoldReason.AWAITS_BEST else null
        if (request.heldBy != null) return false
        val usable = candidatesFor(request)
        val preferred = usable.filterNot { it.id in request.triedUpstreams }.ifEmpty { usable }
        val decision = placement.decide(nowMillis, preferred, request.demand, mayWait)
        if (decision is PlacementDecision.Await) awaited[request.id] = AwaitedUpstream(decision, nowMillis)
        request.heldBy = if (decision is PlacementDecision.Await) HoldReason.AWAITS_BEST else HoldReason.NO_ROOM
        val choice = (decision as? PlacementDecision.Send)?.choice ?: return false
        withdraw(request)
        paceOf(request.service, usable, nowMillis)?.sent(choice.cost)
        pendingSends.sent(request, choice.upstream)
        request.demand?.let { choice.upstream.cache?.recordPrefill(nowMillis, it) }
        request.send(choice)
        return true
    }

    /** Returns why [request] is left queued because of what waits in the engines, or on other hosts; null if it isn't. */
    private fun heldBackBy(nowMillis: Long, request: DispatchedRequest): HoldReason? {
        val isDue = request.rank == WaitingRank.DUE
        val isLimited = request.demand != null && !request.isBelowShare
        if (isLimited && isPendingLimitReached(request.service, nowMillis, isDue)) return HoldReason.PENDING_LIMIT
        val yields = !isDue && request.workspaceId?.let { accounts.backlog.shouldYield(nowMillis, it) } == true
        return if (yields) HoldReason.YIELDING else null
    }

    private fun isPendingLimitReached(service: ServiceId, nowMillis: Long, isDue: Boolean): Boolean {
        val known = pendingLimits[service]?.takeIf { nowMillis - it.asOfMillis < LIMIT_REFRESH_MILLIS }
        val limit = known ?: PendingLimit(pendingLimit(service), nowMillis).also { pendingLimits[service] = it }
        val maxTokens = if (isDue) {
            minOf(limit.tokens * DUE_LIMIT_PARTS, limit.tokens + DUE_ALLOWANCE_TOKENS)
        } else {
            limit.tokens * BEYOND_SHARE_LIMIT_PARTS
        }
        return accounts.engineWork.ownWork(nowMillis, service).pendingTokens > maxTokens
    }

    /** Returns whether requests are queued that the limit to all engines of [service] together doesn't hold back. */
    private fun mayExceedPace(service: ServiceId): Boolean = (belowShareCounts[service] ?: 0) > 0

    /** Returns whether the limit to all engines of [service] together, if there is one, lets this host send. */
    private fun hasPace(service: ServiceId): Boolean {
        val nowMillis = clock.nowMillis()
        val usable = candidates(service)
        return paceOf(service, usable, nowMillis)?.hasRoom(nowMillis) { loadsOf(usable, nowMillis) } != false
    }

    /**
     * Returns the limit to the engines of [service] together; null in a small fleet, and for a plain service, whatever its
     * callers state.
     */
    private fun paceOf(service: ServiceId, usable: List<Candidate>, nowMillis: Long): HostPace? {
        if (usable.none { it.cache != null }) return null
        if (nowMillis - hostsCountedAtMillis >= HOST_COUNT_MILLIS) {
            hostsCountedAtMillis = nowMillis
            isLargeFleet = hostCount() > MAX_HOSTS_LIMITED_BY_ENGINES
        }
        return if (isLargeFleet) paces.getOrPut(service) { HostPace() } else null
    }

    /** Returns the upstreams that may serve [request]: those in its home regions that have one of its software versions. */
    private fun candidatesFor(request: DispatchedRequest): List<Candidate> {
        val homeRegions = request.homeRegions
        val versions = request.softwareVersions
        val all = candidates(request.service)
        if (homeRegions == null && versions == null) return all
        return all.filter { candidate ->
            (homeRegions == null || candidate.region in homeRegions) &&
                (versions == null || candidate.softwareVersion in versions)
        }
    }

    private fun unservableReason(request: DispatchedRequest): String {
        val homeRegions = request.homeRegions
        val atHome = candidates(request.service).filter { homeRegions == null || it.region in homeRegions }
        return when {
            atHome.isNotEmpty() -> "no upstream of the software version that began the stream may be used"
            homeRegions != null && candidates(request.service).isNotEmpty() -> "no upstream in the home regions may be used"
            else -> "no upstream of the service may be used"
        }
    }

    private fun loadsOf(candidates: List<Candidate>, nowMillis: Long): List<UpstreamLoad> =
        candidates.filter { it.usableFromMillis <= nowMillis }.map { it.load }

    private fun queueFor(service: ServiceId) = queues.getOrPut(service) { FairQueue(accounts.startedWork) }

    private companion object {
        /**
         * Work that this host may have pending before a request that is due has to wait, in parts of the limit. In a large fleet
         * the limit is one or two requests, and others would have taken it when a request that is due arrives.
         */
        const val DUE_LIMIT_PARTS = 2.5

        /**
         * Work beyond the limit that a request that is due may find pending, in tokens: a large request. Where the limit is
         * larger than that, parts of it would let work wait in the engines for longer.
         */
        const val DUE_ALLOWANCE_TOKENS = 12_000.0

        /**
         * Work that this host may have pending before a request beyond a share has to wait, in parts of the limit: little, as
         * the shares divide what the engines can do, and what they leave is the error of the estimate.
         */
        const val BEYOND_SHARE_LIMIT_PARTS = 0.3

        /** Minimum time between two computations of the limit to pending work, in milliseconds; peers report less often. */
        const val LIMIT_REFRESH_MILLIS = 50L

        /** Maximum time for which a decision to wait for an upstream stands, in milliseconds; others change meanwhile. */
        const val REEXAMINE_MILLIS = 50L

        /** Minimum time between two counts of the hosts, in milliseconds; membership changes take longer to be noticed. */
        const val HOST_COUNT_MILLIS = 200L

        /**
         * Maximum number of queued requests of a workspace that exceeds its share. Only a few of them can be served within the
         * maximum queueing time.
         */
        const val MAX_WAITING_BEYOND_SHARE = 6
    }
}
