package buckthornbay.core.admission

import buckthornbay.core.Clock
import buckthornbay.core.load.Candidate
import buckthornbay.core.load.Choice
import buckthornbay.core.load.EngineLoad
import buckthornbay.core.load.EngineOccupancy
import buckthornbay.core.load.Placement
import buckthornbay.core.load.PrefixCacheModel
import buckthornbay.core.load.PromptPart
import buckthornbay.core.load.SendOutcome
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.load.UpstreamReliability
import buckthornbay.core.routing.Route
import buckthornbay.core.routing.RouteKind
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId
import buckthornbay.protocol.ZoneId
import org.apache.commons.rng.sampling.distribution.ZigguratSampler
import org.apache.commons.rng.simple.RandomSource
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln

/**
 * A kind of streamed request.
 *
 * @property perSecond requests of all callers at usual load, per second.
 * @property sharedParts number of different shared prompt parts.
 * @property spread standard deviation of the logarithm of the prompt length.
 * @property maxOwnTokens longest prompt without the shared part, in tokens.
 */
class TrafficClass(
    val name: String,
    val perSecond: Double,
    val objectiveMillis: Long,
    val timeoutMillis: Long,
    val sharedTokens: Int,
    val sharedParts: Int,
    val ownTokens: Int,
    val outputTokens: Int,
    val spread: Double = 0.8,
    val maxOwnTokens: Int = 50_000,
)

/** Long, short and very short answers at the usual load of a large fleet. */
val USUAL_CLASSES = listOf(
    TrafficClass("briefing", 100.0, 600, 10_000, sharedTokens = 5_382, sharedParts = 604, ownTokens = 6_610, outputTokens = 380),
    TrafficClass("chat", 125.0, 600, 8_000, sharedTokens = 198, sharedParts = 754, ownTokens = 628, outputTokens = 290),
    TrafficClass("summary", 210.0, 1_200, 2_500, sharedTokens = 568, sharedParts = 700, ownTokens = 1_800, outputTokens = 20),
)

/** A load beyond the usual one: [workspace] sends [factor] times its requests from [fromMillis] to [untilMillis]. */
class Surge(val workspace: Int, val factor: Double, val fromMillis: Long, val untilMillis: Long)

/** A time from [fromMillis] to [untilMillis] in which the work of all engines takes [factor] times as long. */
class SlowSpell(val factor: Double, val fromMillis: Long, val untilMillis: Long)

/** A crash of [engines] at [atMillis]: what they execute and queue fails, and they start again with empty caches. */
class EngineCrash(val engines: List<Int>, val atMillis: Long)

/** A time from [fromMillis] to [untilMillis] in which [engines] refuse connections; they lose all requests and their caches. */
class EngineOutage(val engines: List<Int>, val fromMillis: Long, val untilMillis: Long)

/** A restart of [hosts], which end at [atMillis], forget everything and accept requests again from [backAtMillis] on. */
class HostRestart(val hosts: List<Int>, val atMillis: Long, val backAtMillis: Long)

/** What happens to the engines of a [SimulatedFleet] during a run. */
class EngineFaults(
    val slowSpells: List<SlowSpell> = emptyList(),
    val crashes: List<EngineCrash> = emptyList(),
    val outages: List<EngineOutage> = emptyList(),
) {
    /** Returns how many times as long work takes at [millis]. */
    fun slowdownAt(millis: Double): Double =
        slowSpells.filter { millis >= it.fromMillis && millis < it.untilMillis }.maxOfOrNull { it.factor } ?: 1.0
}

/**
 * Load of a [SimulatedFleet].
 *
 * @property hostsOfWorkspace hosts that the callers of a workspace use, by workspace; null if callers everywhere belong to it.
 */
class TrafficPlan(
    val classes: List<TrafficClass>,
    val workspaces: Int,
    val hostsOfWorkspace: (Int) -> List<Int>?,
    val tokensPerSecond: Double,
    val surges: List<Surge>,
)

/** What a workspace asked for and got in one second, in tokens. */
class SecondOfService {
    var askedTokens = 0.0
    var begunTokens = 0.0
    var heldBack = false
}

/** What hosts sent to the engines in one second and what these began, in tokens, and how it waited there. */
class SecondOfEngines {
    var sentTokens = 0.0
    var begunTokens = 0.0
    val waitsMillis = ArrayList<Double>()

    /** How long the hosts expected the begun requests to wait. */
    val expectedWaitsMillis = ArrayList<Double>()

    /** Slots without a request for which a request waits at some other engine, at several moments of the second. */
    val unusedSlots = ArrayList<Int>()
}

/** What became of the requests whose callers sent them first in one second. */
class SecondOfCallers {
    var sent = 0
    var inTime = 0
    var late = 0

    /** Refusals of these requests, with those after which the callers came back and were served. */
    var refusals = 0
}

/** Hosts, engines and callers of a fleet in virtual time; the hosts run the scheduling of the gateway. */
class SimulatedFleet(
    private val engineShape: EngineShape,
    private val plan: TrafficPlan,
    seed: Long,
    private val hostCount: Int = HOSTS,
    private val faults: EngineFaults = EngineFaults(),
    private val restarts: List<HostRestart> = emptyList(),
) {
    private class Event(val atMillis: Double, val sequence: Long, val action: () -> Unit)

    private val random = RandomSource.SPLIT_MIX_64.create(seed)
    private val gaussian = ZigguratSampler.NormalizedGaussian.of(random)
    private val events = PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.sequence })
    private var sequence = 0L
    private var timeMillis = 0.0
    private val clock = Clock { timeMillis.toLong() }
    private val zones = minOf(ZONES, hostCount)
    private val hosts = MutableList(hostCount) { SimulatedHost(it) }
    private val unevenness = engineShape.unevenness?.let { EngineSpeeds(it, engineShape.count, seed) }
    private val engines = List(engineShape.count) { engine ->
        val slowdown = { faults.slowdownAt(timeMillis) * (unevenness?.slowdownAt(engine, timeMillis) ?: 1.0) }
        SimulatedEngine(engineShape, slowdown, ::schedule)
    }
    private val engineSlots = List(engineShape.count) { UpstreamId("engine-$it") }.associateWith { engineShape.slots }
    private val callerHosts = List(zones) { zone -> List(CALLERS_PER_ZONE) { random.nextInt(hostCount / zones) * zones + zone } }

    /** Service by workspace and second. */
    val service = List(plan.workspaces) { List(MAX_SECONDS) { SecondOfService() } }

    /** What happened at the engines, by second. */
    val engineSeconds = List(MAX_SECONDS) { SecondOfEngines() }

    /** What became of the requests, by the second in which they were sent first. */
    val callerSeconds = List(MAX_SECONDS) { SecondOfCallers() }
    var largestRequestTokens = 0.0
        private set

    fun run(seconds: Int) {
        hosts.forEach { it.start() }
        for (crash in faults.crashes) schedule(crash.atMillis.toDouble()) { crash.engines.forEach { engines[it].crash() } }
        faults.outages.forEach(::scheduleOutage)
        restarts.forEach(::scheduleRestart)
        countUnusedSlots()
        for (workspace in 0 until plan.workspaces) for (kind in plan.classes) scheduleArrival(workspace, kind)
        while (timeMillis < seconds * MILLIS_PER_SECOND) {
            val event = events.poll()
            timeMillis = event.atMillis
            event.action()
        }
    }

    private fun schedule(delayMillis: Double, action: () -> Unit) {
        events += Event(timeMillis + delayMillis, sequence++, action)
    }

    private fun countUnusedSlots() {
        engineSeconds[second].unusedSlots += minOf(engines.sumOf { it.waitingCount }, engines.sumOf { it.freeSlots })
        schedule(SAMPLE_MILLIS) { countUnusedSlots() }
    }

    private fun scheduleArrival(workspace: Int, kind: TrafficClass) {
        val rate = kind.perSecond * weightOf(workspace) * factorOf(workspace) / MILLIS_PER_SECOND
        val untilNextMillis = -ln(1.0 - random.nextDouble()) / rate
        // Rates change within a second, so a long gap is drawn again.
        if (untilNextMillis > REDRAW_MILLIS) return schedule(REDRAW_MILLIS) { scheduleArrival(workspace, kind) }
        schedule(untilNextMillis) {
            val home = plan.hostsOfWorkspace(workspace)?.let { it[random.nextInt(it.size)] }
                ?: callerHosts[random.nextInt(zones)][random.nextInt(CALLERS_PER_ZONE)]
            SimulatedCaller(workspace, kind, demandOf(kind), clock.nowMillis() + kind.timeoutMillis)
                .send(runningHost(home), retriesLeft = 1)
            scheduleArrival(workspace, kind)
        }
    }

    private fun scheduleOutage(outage: EngineOutage) {
        schedule(outage.fromMillis.toDouble()) { outage.engines.forEach { engines[it].stop() } }
        schedule(outage.untilMillis.toDouble()) { outage.engines.forEach { engines[it].restart() } }
    }

    private fun scheduleRestart(restart: HostRestart) {
        schedule(restart.atMillis.toDouble()) { restart.hosts.forEach { hosts[it].isRunning = false } }
        schedule(restart.backAtMillis.toDouble()) {
            for (index in restart.hosts) hosts[index] = SimulatedHost(index).also { it.start() }
        }
    }

    /** Returns the host [index], or another one of its zone while that one is not running. */
    private fun runningHost(index: Int): SimulatedHost =
        generateSequence(index) { (it + zones) % hostCount }.take(hostCount).map { hosts[it] }.first { it.isRunning }

    private val runningMembers: List<Member> get() = hosts.filter { it.isRunning }.map { it.self }

    private fun weightOf(workspace: Int): Double {
        val weights = (1..plan.workspaces).map { 1.0 / (it + 1) }
        return weights[workspace] / weights.sum()
    }

    private fun factorOf(workspace: Int): Double = plan.surges
        .filter { it.workspace == workspace && clock.nowMillis() in it.fromMillis until it.untilMillis }
        .maxOfOrNull { it.factor } ?: 1.0

    private fun demandOf(kind: TrafficClass): TokenDemand {
        val own = kind.ownTokens * exp(kind.spread * gaussian.sample() - kind.spread * kind.spread / 2)
        val parts = listOf(
            PromptPart("${kind.name}-${random.nextInt(kind.sharedParts)}", kind.sharedTokens),
            PromptPart("own-${sequence++}", own.toInt().coerceIn(1, kind.maxOwnTokens)),
        )
        return TokenDemand(parts.sumOf { it.tokens }, kind.outputTokens, parts)
    }

    private val second: Int get() = (timeMillis / MILLIS_PER_SECOND).toInt().coerceAtMost(MAX_SECONDS - 1)

    private fun secondOf(workspace: Int) = service[workspace][second]

    private fun delayMillis(hostZone: Int, engine: Int): Double = when {
        hostZone == zoneOfEngine(engine) -> 0.2
        hostZone % REGIONS == zoneOfEngine(engine) % REGIONS -> 0.9
        else -> 8.0
    }

    private fun zoneOfEngine(engine: Int) = engine % zones

    private fun regionOf(zone: Int) = RegionId("region-${zone % REGIONS}")

    /** A caller that repeats a refused request as the host tells it to. */
    private inner class SimulatedCaller(
        val workspace: Int,
        val kind: TrafficClass,
        val demand: TokenDemand,
        val deadlineMillis: Long,
    ) {
        private val route = Route(
            kind.name, "host", "/${kind.name}/", RouteKind.EVENT_STREAM, emptyList(), kind.timeoutMillis, kind.objectiveMillis,
            maxAttempts = 2, public = false, prefixAffinity = true, resumable = true, longestPauseMillis = 400, priority = 1,
        )

        private val firstSentAtMillis = timeMillis
        private val outcomes = callerSeconds[second].also { it.sent++ }

        fun responseBegan() {
            if (timeMillis - firstSentAtMillis <= kind.objectiveMillis) outcomes.inTime++ else outcomes.late++
        }

        fun send(host: SimulatedHost, retriesLeft: Int) {
            secondOf(workspace).askedTokens += demand.workTokens
            largestRequestTokens = maxOf(largestRequestTokens, demand.workTokens)
            schedule(CALLER_DELAY_MILLIS) { host.receive(this, route, retriesLeft) }
        }

        fun refused(host: SimulatedHost, retryAfterMillis: Double, retriesLeft: Int) {
            secondOf(workspace).heldBack = true
            outcomes.refusals++
            if (retriesLeft == 0) return
            schedule(retryAfterMillis) {
                if (clock.nowMillis() < deadlineMillis) send(runningHost(host.index), retriesLeft - 1)
            }
        }
    }

    /** One host with the scheduling of the gateway and no network. */
    private inner class SimulatedHost(val index: Int) {
        var isRunning = true
        val zone = index % zones
        val self = Member(HostId("host-$index"), "url-$index", regionOf(zone), ZoneId("zone-$zone"), 1)
        private val started = FleetAccounts(timeConstantMillis = 1_000.0)
        private val requested = FleetAccounts(timeConstantMillis = 1_200.0)
        private val backlog = FleetBacklog(started)
        private val occupancy = EngineOccupancy { engineSlots }
        private val accounts: WorkspaceAccounts =
            WorkspaceAccounts(started, requested, backlog, clock, occupancy = occupancy) { dispatcher.workspacesWaitingFor(it) }
        private val window = EngineWindow(
            accounts.engineWork,
            { hostCount },
            capacity = { admission.shares.capacityTokensPerSecond(it) },
        ) { engineShape.count }
        private val aggregation = AccountsAggregation(self, accounts) { runningMembers }
        val admission: Admission = Admission(
            AdmissionPolicy(random),
            FairShares(
                accounts.demand,
                ZoneHostOrder(self) { runningMembers },
                random,
                capacity = EngineCapacity(accounts.engineWork, { hostCount })::tokensPerSecond,
            ).apply { tokensPerSecond = plan.tokensPerSecond },
            CallerRetryTracker(),
        )
        private val candidates = List(engineShape.count) { engine ->
            val id = UpstreamId("engine-$engine")
            Candidate(
                id,
                regionOf(zoneOfEngine(engine)),
                EngineLoad(slotWaitMillis = { occupancy.slotWaitMillis(it, MODELS, id) }) {
                    admission.shares.hostFraction(clock.nowMillis())
                },
                UpstreamReliability(),
                PrefixCacheModel(),
            )
        }
        val dispatcher: Dispatcher =
            Dispatcher({ candidates }, accounts, Placement(self.region), clock, { hostCount }) { service ->
                val nowMillis = clock.nowMillis()
                window.hostTokens(nowMillis, service, admission.shares.hostFraction(nowMillis))
            }

        fun start() {
            schedule(random.nextDouble() * EXCHANGE_MILLIS) { exchangeAccounts() }
            schedule(random.nextDouble() * MAINTENANCE_MILLIS) { maintain() }
        }

        private fun exchangeAccounts() {
            if (!isRunning) return
            for (target in aggregation.targets()) {
                val peer = hosts.first { it.self == target }
                val sent = aggregation.accountsFor(target)
                schedule(PEER_DELAY_MILLIS) {
                    peer.aggregation.merge(sent)
                    val answer = peer.aggregation.answerTo(sent)
                    schedule(PEER_DELAY_MILLIS) { answer.forEach(aggregation::merge) }
                }
            }
            schedule(EXCHANGE_MILLIS) { exchangeAccounts() }
        }

        private fun maintain() {
            if (!isRunning) return
            dispatcher.placeAll()
            schedule(MAINTENANCE_MILLIS) { maintain() }
        }

        fun receive(caller: SimulatedCaller, route: Route, retriesLeft: Int) {
            if (!isRunning) return
            val workspace = WorkspaceId("workspace-${caller.workspace}")
            val nowMillis = clock.nowMillis()
            val fingerprint = RequestFingerprint(route.name, workspace, caller.demand)
            val waitedMillis = admission.priorWaits.waitedMillis(nowMillis, fingerprint, route.timeoutMillis)
            val rank = admission.rankOf(nowMillis, route, workspace, caller.demand, waitedMillis)
            val isBelowShare = admission.shares.isBelowShare(nowMillis, workspace)
            SimulatedRequest(this, caller, route, rank, isBelowShare, fingerprint, nowMillis - waitedMillis, retriesLeft).submit()
        }

        fun indexOf(upstream: Candidate) = candidates.indexOf(upstream)
    }

    private inner class SimulatedRequest(
        private val host: SimulatedHost,
        private val caller: SimulatedCaller,
        private val route: Route,
        private val firstRank: WaitingRank,
        override val isBelowShare: Boolean,
        private val fingerprint: RequestFingerprint,
        private val firstReceivedAtMillis: Long,
        private val retriesLeft: Int,
    ) : DispatchedRequest {
        private val arrivedAtMillis = clock.nowMillis()
        private var begun = false
        private var failedBefore = false
        override val id = "request-${sequence++}"
        override val service = MODELS
        override val workspaceId = fingerprint.workspace
        override val demand = caller.demand
        override val triedUpstreams = LinkedHashSet<UpstreamId>()
        override val rank get() = if (failedBefore) WaitingRank.DUE else firstRank
        override var queueEntry: QueuedRequest<DispatchedRequest>? = null
        override var heldBy: HoldReason? = null

        override fun queueUntilMillis() = if (triedUpstreams.isEmpty()) {
            host.admission.policy.queueUntilMillis(route, rank, arrivedAtMillis, caller.deadlineMillis)
        } else {
            host.admission.policy.retryQueueUntilMillis(clock.nowMillis(), caller.deadlineMillis)
        }

        override fun mayWaitForBestUpstream(nowMillis: Long) =
            nowMillis < host.admission.policy.waitForBestUntilMillis(route, arrivedAtMillis)

        fun submit() {
            host.dispatcher.submit(this)
            val entry = queueEntry ?: return
            schedule((entry.queueUntilMillis - clock.nowMillis()).coerceAtLeast(0).toDouble()) { queueTimeout(entry) }
            schedule((arrivedAtMillis + checkNotNull(route.objectiveMillis) - clock.nowMillis()).toDouble()) {
                if (!begun) secondOf(caller.workspace).heldBack = true
            }
        }

        private fun queueTimeout(entry: QueuedRequest<DispatchedRequest>) {
            if (queueEntry !== entry || !host.isRunning) return
            host.dispatcher.place(service)
            if (queueEntry !== entry) return
            host.dispatcher.withdraw(this)
            refuse("no upstream had room in time")
        }

        override fun refuse(reason: String, retryAfterMillis: Long?) {
            val nowMillis = clock.nowMillis()
            val delayMillis = host.admission.policy.retryAfterMillis(route, caller.deadlineMillis - nowMillis)
            host.admission.priorWaits.recordRefusal(nowMillis, fingerprint, nowMillis - firstReceivedAtMillis)
            caller.refused(host, delayMillis, retriesLeft)
        }

        override fun send(choice: Choice) {
            val upstream = choice.upstream
            val engine = host.indexOf(upstream)
            val networkMillis = delayMillis(host.zone, engine)
            triedUpstreams += upstream.id
            upstream.load.sent(clock.nowMillis(), id, choice.cost)
            engineSeconds[second].sentTokens += demand.workTokens
            val sentAtMillis = timeMillis
            var lastEventMillis = -1L
            fun atHost(action: () -> Unit) = schedule(networkMillis) { if (host.isRunning) action() }
            val run = EngineRun(
                demand,
                caller.kind.outputTokens,
                copied = choice.copyFrom != null,
                onStart = { report ->
                    begun = true
                    caller.responseBegan()
                    secondOf(caller.workspace).begunTokens += demand.workTokens
                    engineSeconds[second].begunTokens += demand.workTokens
                    engineSeconds[second].waitsMillis += timeMillis - sentAtMillis
                    engineSeconds[second].expectedWaitsMillis += choice.expectedMillis
                    atHost {
                        upstream.load.responseStarted(clock.nowMillis(), id, report)
                        host.dispatcher.responseStarted(id)
                        lastEventMillis = clock.nowMillis()
                        host.dispatcher.place(service)
                    }
                },
                onEvent = {
                    atHost {
                        val pauseMillis = clock.nowMillis() - lastEventMillis
                        lastEventMillis = clock.nowMillis()
                        upstream.load.gapObserved(clock.nowMillis(), pauseMillis, checkNotNull(route.longestPauseMillis))
                    }
                },
                onEnd = { atHost { ended(upstream, SendOutcome.ANSWERED) } },
                onCrash = {
                    atHost {
                        failedBefore = true
                        ended(upstream, SendOutcome.FAILED)
                        resend("the upstream crashed")
                    }
                },
            )
            schedule(networkMillis) {
                if (engines[engine].isStopped) {
                    atHost {
                        ended(upstream, SendOutcome.UNREACHABLE)
                        resend("the upstreams can't be reached")
                    }
                } else if (!engines[engine].accept(run)) {
                    atHost {
                        ended(upstream, SendOutcome.REFUSED)
                        resend("the upstreams are full")
                    }
                }
            }
        }

        private fun resend(reason: String) {
            if (triedUpstreams.size < MAX_SENDS) submit() else refuse(reason)
        }

        private fun ended(upstream: Candidate, outcome: SendOutcome) {
            upstream.load.ended(clock.nowMillis(), id, outcome)
            host.dispatcher.attemptEnded(id, outcome)
            upstream.reliability.record(clock.nowMillis(), outcome)
            host.dispatcher.place(service)
        }
    }

    companion object {
        private val MODELS = ServiceId("models")
        const val HOSTS = 72
        const val ZONES = 6
        private const val REGIONS = 3
        private const val CALLERS_PER_ZONE = 50
        private const val MAX_SECONDS = 60
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val CALLER_DELAY_MILLIS = 3.0
        private const val PEER_DELAY_MILLIS = 4.0
        private const val EXCHANGE_MILLIS = 400.0
        private const val MAINTENANCE_MILLIS = 200.0
        private const val REDRAW_MILLIS = 500.0
        private const val SAMPLE_MILLIS = 50.0
        private const val MAX_SENDS = 4
    }
}
