package buckthornbay.router.gateway

import arrow.fx.coroutines.ResourceScope
import buckthornbay.core.Clock
import buckthornbay.core.admission.AccountsAggregation
import buckthornbay.core.admission.Admission
import buckthornbay.core.admission.AdmissionPolicy
import buckthornbay.core.admission.CallerRetryTracker
import buckthornbay.core.admission.ConnectionBudget
import buckthornbay.core.admission.Dispatcher
import buckthornbay.core.admission.EngineCapacity
import buckthornbay.core.admission.EngineWindow
import buckthornbay.core.admission.EngineWorkAccounts
import buckthornbay.core.admission.FairShares
import buckthornbay.core.admission.FleetAccounts
import buckthornbay.core.admission.FleetBacklog
import buckthornbay.core.admission.WorkspaceAccounts
import buckthornbay.core.admission.ZoneHostOrder
import buckthornbay.core.load.ColdUpstreams
import buckthornbay.core.load.EngineOccupancy
import buckthornbay.core.load.Placement
import buckthornbay.core.load.RateLimitDivision
import buckthornbay.core.load.StartPace
import buckthornbay.core.membership.CollectionKnowledge
import buckthornbay.core.membership.HostLoads
import buckthornbay.core.membership.Membership
import buckthornbay.core.membership.MembershipSettings
import buckthornbay.core.membership.StoreKnowledge
import buckthornbay.core.membership.rendezvousOrder
import buckthornbay.core.quarantine.PromptQuarantine
import buckthornbay.core.quarantine.QuarantineChange
import buckthornbay.core.registry.UpstreamNotices
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.wire.CallerInterface
import buckthornbay.core.wire.FleetFormat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.MemberStatus
import buckthornbay.protocol.ServiceId
import buckthornbay.store.HttpTransport
import buckthornbay.store.ObjectCollections
import buckthornbay.store.SystemClock
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** Adapters for the wire formats of a deployment's callers, upstreams and store. */
public class Deployment(
    public val callerInterface: CallerInterface,
    public val format: FleetFormat,
    public val store: (HttpTransport, address: String) -> ObjectCollections,
)

/** Router process for a deployment's platform. All its state is confined to one event loop. */
public class GatewayProcess internal constructor(private val settings: GatewaySettings, private val deployment: Deployment) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop: EventLoop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + eventLoop.asCoroutineDispatcher())
    private val clock: Clock = SystemClock
    private val incarnation = System.currentTimeMillis()
    private val random = RandomSource.SPLIT_MIX_64.create(incarnation xor settings.host.value.hashCode().toLong())
    private val log = DecisionLog(clock)
    private val notices = UpstreamNotices()
    private val registry = UpstreamRegistry(notices)
    private val regions = settings.zones.associate { it.name to it.region }
    private val startedWork = FleetAccounts(settings.bounds.shareWindowSeconds * MILLIS_PER_SECOND / LEDGERS_PER_WINDOW)
    private val accounts: WorkspaceAccounts =
        WorkspaceAccounts(
            startedWork,
            FleetAccounts(DEMAND_DECAY_MILLIS),
            FleetBacklog(startedWork),
            clock,
            EngineWorkAccounts(),
            EngineOccupancy { upstreams.slots(it) },
        ) {
            context.dispatcher.workspacesWaitingFor(it)
        }
    private val selfMember = Member(settings.host, settings.listen.control, settings.region, settings.zone, incarnation)
    private val hostOrder = ZoneHostOrder(selfMember) { membership.live() }
    private val engineCapacity = EngineCapacity(accounts.engineWork, { hostOrder.count })
    private val shares = FairShares(accounts.demand, hostOrder, random, capacity = engineCapacity::tokensPerSecond)
    private val engineWindow: EngineWindow =
        EngineWindow(accounts.engineWork, { hostOrder.count }, capacity = shares::capacityTokensPerSecond) {
            upstreams.candidates(it).size
        }
    private val metrics = GatewayMetrics()
    private val rateLimits = RateLimitWatch(deployment.callerInterface, clock, log, metrics)
    private val noticeWatch = NoticeWatch(deployment.callerInterface, notices, clock, log)
    private val coldUpstreams = ColdUpstreams()
    private val startPace = StartPace()
    private val rateDivision = RateLimitDivision({ hostOrder.count }, shares::segment, ::requestRateLimits)
    private val upstreams: UpstreamTable =
        UpstreamTable(
            registry,
            regions::get,
            clock,
            notices,
            accounts.occupancy,
            { shares.hostFraction(clock.nowMillis()) },
            random::nextDouble,
        ) { upstream, nowMillis -> rateDivision.ownRate(nowMillis, upstream.incarnation) }
    private val openConnections = OpenConnections()
    private val connectionBudget = ConnectionBudget(settings.limits.descriptors) { openConnections.count }
    private val hostLoads = HostLoads()
    private val connections = ConnectionPool(eventLoop, clock, PoolSettings(), openConnections = openConnections)
    private val transport = NettyTransport(connections)
    private val fleetView = FleetView(deployment.format, registry, clock, log, ::fleetViewChanged)
    private val membership = Membership(
        selfMember,
        settings.seeds - settings.listen.control,
        random,
        MEMBERSHIP,
    )
    private val storeKnowledge = StoreKnowledge(
        settings.host,
        incarnation,
        CollectionKnowledge { fleetView.configurationVersion },
        CollectionKnowledge { fleetView.registryRevision },
        CollectionKnowledge { fleetView.evacuationsRevision },
    )
    private val storeAccess = StoreAccess(settings.host, storeKnowledge, settings.bounds) {
        membership.live().map { it.host }
    }
    private val accountsExchange = AccountsExchange(
        membership,
        AccountsAggregation(selfMember, accounts, hostLoads, connectionBudget::loadPermille, membership::live),
        storeKnowledge,
        startPace,
        transport,
        clock,
        log,
        scope,
    )
    private val probe = UpstreamProbe(connections, eventLoop)
    private val crashWatch = CrashWatch(PromptQuarantine(), probe, clock, log, metrics) { part ->
        rendezvousOrder(part, membership.live().map { it.host }).first() == settings.host
    }
    private val peers = PeerExchange(
        membership,
        SharedState(accounts, crashWatch, rateLimits, startPace, connectionBudget),
        fleetView,
        transport,
        log,
        storeAccess,
        accountsExchange,
        scope,
    )
    private val store = deployment.store(transport, settings.store.address)
    private val quarantineStore = QuarantineStore(
        store,
        deployment.format.quarantineKind,
        settings.host,
        { membership.live().map { it.host } },
        log,
        scope,
    )
    private val streamVersions = StreamVersions(
        store,
        deployment.format,
        StreamVersionsView(settings.host, { membership.live().map { it.host } }, { fleetView.routes }, registry, clock),
        StreamVersionsSettings(settings.store.writesPerSecond, settings.bounds.drainMillis),
        log,
        scope,
    )
    private val watcher =
        StoreWatcher(
            store,
            deployment.format,
            fleetView,
            registry,
            storeAccess,
            random,
            clock,
            log,
        )
    private val retryBudgets = RetryBudgets(
        settings.bounds.run { RetrySettings(retryRatio, (retryWindowSeconds * MILLIS_PER_SECOND).toLong(), retrySlack) },
        clock,
    ) { membership.live().size }
    private val context: GatewayContext = GatewayContext(
        clock,
        eventLoop,
        deployment.callerInterface,
        UpstreamAccess(
            registry,
            upstreams,
            connections,
            probe,
            retryBudgets,
            crashWatch,
            UpstreamLimits(rateLimits, startPace),
            noticeWatch,
        ),
        Admission(AdmissionPolicy(random), shares, CallerRetryTracker()),
        accounts,
        log,
        metrics,
    )
    private val callers = CallerHandler(context) { fleetView.routes }
    private val hostHandler = HostHandler(deployment.callerInterface, context.buffers, ::answerHostRequest)
    private val loopReport = LoopReport(context)
    private val listeners = Listeners(group, clock, openConnections)
    private val stopped = CompletableDeferred<Unit>()

    internal fun start() {
        log.versionFields = { "config_version=${fleetView.configurationVersion} registry_revision=${fleetView.registryRevision}" }
        context.dispatcher = Dispatcher(
            upstreams::candidates,
            accounts,
            Placement(settings.region),
            clock,
            { hostOrder.count },
            ::pendingLimit,
        )
        context.connectionBudget = connectionBudget
        context.streamVersions = streamVersions
        metrics.buffers(context.buffers)
        metrics.connections(openConnections)
        storeKnowledge.run { mapOf("configuration" to configuration, "registrations" to registrations) }
            .forEach { (name, collection) -> metrics.storeKnowledge(name) { collection.ageMillis(clock.nowMillis()) } }
        crashWatch.onCrash = {
            peers.announce()
            quarantineStore.readAfterCrash(crashWatch::restore)
        }
        rateLimits.onChange = peers::announce
        noticeWatch.onLeaving = {
            upstreams.refresh()
            eventLoop.execute(context.dispatcher::placeAll)
        }
        crashWatch.onQuarantined = ::endQuarantinedRequests
        crashWatch.onChange = { change ->
            when (change) {
                is QuarantineChange.Quarantined -> quarantineStore.add(change.part)
                is QuarantineChange.Released -> quarantineStore.remove(change.part)
            }
        }
        listeners.listen(settings.listen.callers, callers)
        settings.listen.run { listOfNotNull(readiness, control, addresses, metrics) }.distinct()
            .forEach { listeners.listen(it, hostHandler) }
        scope.launchLoop("maintenance", log) { runMaintenance() }
        watcher.onCall = metrics::storeCalled
        watcher.onResponse = peers::passOnStatement
        scope.launch { watcher.start(scope) }
        scope.launch { quarantineStore.read(crashWatch::restore) }
        streamVersions.start()
        scope.launch { peers.start() }
        log.stateChange("event=started host=${settings.host} incarnation=$incarnation callers=${settings.listen.callers}")
    }

    /**
     * Shuts down gracefully: leaves the fleet, then stops accepting connections and waits for the requests in progress.
     *
     * Returns when these have ended or the grace time is nearly over.
     */
    public suspend fun drain() {
        scope.launch { stopServing() }
        stopped.await()
    }

    /** Applies the settings that may change at run time, which are the seed addresses only. */
    public fun reload(changed: GatewaySettings) {
        eventLoop.execute {
            membership.updateSeeds(changed.seeds - settings.listen.control)
            log.stateChange("event=settings_reloaded seeds=${changed.seeds.joinToString(",")}")
        }
    }

    internal fun stop() {
        scope.cancel()
        eventLoop.submit {
            listeners.close()
            context.requests.toList().forEach { it.callerDisconnected() }
            (callers.connections + hostHandler.connections).forEach { it.abort() }
            connections.closeAll()
        }.await(CLOSE_TIMEOUT_MILLIS)
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).await(CLOSE_TIMEOUT_MILLIS)
        log.stateChange("event=stopped host=${settings.host}")
    }

    private suspend fun stopServing() {
        val signalledAtMillis = clock.nowMillis()
        val graceMillis = (settings.bounds.graceSeconds * MILLIS_PER_SECOND).toLong()
        log.stateChange("event=stopping host=${settings.host} requests=${context.requests.size}")
        val endsAtMillis = signalledAtMillis + graceMillis - STOP_MARGIN_MILLIS
        callers.closing = true
        callers.endsAtMillis = endsAtMillis
        peers.announceLeaving()
        delay(LINGER_MILLIS.milliseconds)
        callers.refusing = true
        listeners.close()
        closeIdleConnectionsUntil(endsAtMillis)
        log.stateChange("event=drained host=${settings.host} requests_left=${context.requests.size}")
        context.requests.toList().forEach { it.endForShutdown() }
        closeIdleConnectionsUntil(endsAtMillis + LAST_ANSWERS_MILLIS)
        delay(FLUSH_MILLIS.milliseconds)
        stopped.complete(Unit)
    }

    /** Closes the connections without a request, as long as there are others; returns at [endsAtMillis] at the latest. */
    private suspend fun closeIdleConnectionsUntil(endsAtMillis: Long) {
        while (clock.nowMillis() < endsAtMillis) {
            val nowMillis = clock.nowMillis()
            callers.connections.toList().forEach { it.closeIfIdle(nowMillis) }
            if (callers.connections.isEmpty()) break
            delay(DRAIN_POLL_MILLIS.milliseconds)
        }
    }

    /** Periodically closes overdue connections, expires registrations and moves attempts away from silent upstreams. */
    private suspend fun runMaintenance() {
        var dueAtMillis = clock.nowMillis()
        while (true) {
            val nowMillis = clock.nowMillis()
            loopReport.add(nowMillis, nowMillis - dueAtMillis)
            (callers.connections + hostHandler.connections).forEach { it.closeIfTimedOut(nowMillis) }
            connections.closeStale()
            closeSurplusConnections(nowMillis)
            if (registry.expire(nowMillis).isNotEmpty()) fleetViewChanged()
            crashWatch.expire()
            endStalledAttempts()
            moveFromSilentUpstreams(nowMillis)
            context.dispatcher.placeAll()
            dueAtMillis = clock.nowMillis() + MAINTENANCE_PERIOD_MILLIS
            delay(MAINTENANCE_PERIOD_MILLIS.milliseconds)
        }
    }

    /** Closes idle connections while this host has few left: those of callers first, then those to upstreams. */
    private fun closeSurplusConnections(nowMillis: Long) {
        val surplus = connectionBudget.surplus()
        if (surplus == 0) return
        val idle = callers.connections.filter { it.isIdle(nowMillis) }.sortedBy { it.activeAtMillis }.take(surplus)
        idle.forEach { it.closeIfIdle(nowMillis) }
        connections.closeIdle(surplus - idle.size)
        log.stateChange(
            "event=connections_scarce open=${openConnections.count} closed=${idle.size} load=${connectionBudget.loadPermille}",
        )
    }

    /** Ends the attempts whose upstream keeps sending bytes that complete nothing. */
    private fun endStalledAttempts() {
        upstreams.all().flatMap { it.attempts }.filter { it.isStalledFor(STALL_TIMEOUT_MILLIS) }
            .forEach { it.failAndClose("a response head or an event stayed incomplete for $STALL_TIMEOUT_MILLIS ms") }
    }

    private fun moveFromSilentUpstreams(nowMillis: Long) {
        for (upstream in upstreams.all()) {
            val overdue = upstream.attempts.filter { nowMillis - it.sentAtMillis > SILENCE_TIMEOUT_MILLIS }
            if (overdue.isEmpty() || nowMillis - upstream.lastActivityMillis < SILENCE_TIMEOUT_MILLIS) continue
            overdue.filter {
                it.mayRetry
            }.forEach { it.failAndClose("nothing came from the upstream for $SILENCE_TIMEOUT_MILLIS ms") }
        }
    }

    /** Returns the limits that upstreams state, or have while they are cold, in requests per second of all hosts together. */
    private fun requestRateLimits(): Map<String, Double> {
        val limits = HashMap(rateLimits.perUpstream)
        val nowMillis = clock.nowMillis()
        for (starting in listOf(coldUpstreams.limits(nowMillis), startPace.limits(nowMillis))) {
            starting.forEach { (upstream, perSecond) -> limits.merge(upstream, perSecond, ::minOf) }
        }
        return limits
    }

    private fun pendingLimit(service: ServiceId): Double {
        val nowMillis = clock.nowMillis()
        return engineWindow.hostTokens(nowMillis, service, shares.hostFraction(nowMillis))
    }

    private fun endQuarantinedRequests() {
        context.requests.toList().forEach { it.endIfQuarantined() }
        peers.announce()
    }

    private fun fleetViewChanged() {
        upstreams.routes = fleetView.routes
        shares.tokensPerSecond = fleetView.routes?.configuration?.tokensPerSecond
        upstreams.evacuatedZones = fleetView.evacuatedZones.toSet()
        upstreams.refresh()
        streamVersions.upstreamsChanged()
        rateLimits.retain(registry.all())
        coldUpstreams.update(clock.nowMillis(), registry.all()) { fleetView.routes?.service(it)?.coldRequestsPerSecond }
        if (settings.bounds.paceStarts) startPace.update(clock.nowMillis(), registry.all())
        metrics.coldUpstreams(coldUpstreams.size)
        metrics.startingUpstreams(startPace.size)
        context.dispatcher.placeAll()
        peers.announce()
    }

    private fun answerHostRequest(request: ReceivedRequest): HostAnswer = when (request.path) {
        deployment.callerInterface.readinessPath -> readiness()
        deployment.callerInterface.addressesPath -> addresses(request)
        METRICS_PATH -> HostAnswer(HttpResponseStatus.OK, metrics.scrape(), "text/plain; version=0.0.4")
        else -> {
            val reply = peers.answer(request.target, request.body.toString(Charsets.UTF_8))
            HostAnswer(HttpResponseStatus.valueOf(reply.status), reply.body)
        }
    }

    private fun readiness(): HostAnswer {
        val ready = fleetView.routes != null && fleetView.registryLoaded && !callers.closing
        return HostAnswer(if (ready) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE, "{}")
    }

    private fun addresses(request: ReceivedRequest): HostAnswer {
        val query = deployment.callerInterface.addressQuery(queryParameters(request.target))
        val alive = membership.all().filter { it.status == MemberStatus.ALIVE }
        val nowMillis = clock.nowMillis()
        hostLoads.record(nowMillis, settings.host, connectionBudget.loadPermille)
        if (!accountsExchange.isNeeded) alive.forEach { recordReportedLoad(nowMillis, it.host) }
        val addresses = hostLoads.withRoom(nowMillis, hostsFor(query, alive)).take(MAX_ADDRESSES).map(::callerAddressOf)
        return HostAnswer(HttpResponseStatus.OK, deployment.callerInterface.addressResponse(addresses, ADDRESS_TTL_MILLIS))
    }

    private fun recordReportedLoad(nowMillis: Long, host: HostId) {
        if (host != settings.host) hostLoads.record(nowMillis, host, membership.loadPermilleOf(host))
    }

    /** Returns the address on which [member] serves callers; all hosts of a fleet use the same ports. */
    private fun callerAddressOf(member: Member): String =
        member.url.substringBeforeLast(':') + ":" + settings.listen.callers.substringAfterLast(':')

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /**
         * Time constants of the ledger of started work in the window over which shares are measured: what a workspace got earlier
         * in the window is to count little now.
         */
        const val LEDGERS_PER_WINDOW = 4

        /**
         * Time constant of the exponential decay of demand, in milliseconds: several gossip rounds, and a quarter of the share
         * window.
         */
        const val DEMAND_DECAY_MILLIS = 1_200.0
        const val METRICS_PATH = "/metrics"

        /**
         * Time for which callers may cache an address list, in milliseconds; less than [LINGER_MILLIS], so that callers drop a
         * stopping host within its grace time, while it still accepts requests.
         */
        const val ADDRESS_TTL_MILLIS = 2_000L
        const val MAX_ADDRESSES = 64

        /**
         * Time for which new connections and requests are still accepted after the stop signal, in milliseconds; meanwhile
         * callers refresh their address lists.
         */
        const val LINGER_MILLIS = 3_000L

        /** Part of the grace time, in milliseconds, that is reserved for the exit of the process before it is killed. */
        const val STOP_MARGIN_MILLIS = 500L
        const val DRAIN_POLL_MILLIS = 50L

        /** Part of [STOP_MARGIN_MILLIS], in milliseconds, in which callers receive the answers to the requests ended last. */
        const val LAST_ANSWERS_MILLIS = 150L
        const val FLUSH_MILLIS = 50L

        /** Timeout for closing all sockets at shutdown, in milliseconds; no request is in progress on them by then. */
        const val CLOSE_TIMEOUT_MILLIS = 200L

        /** Period of [runMaintenance], in milliseconds; short compared with its usual timeouts of 1,500 ms and more. */
        const val MAINTENANCE_PERIOD_MILLIS = 200L

        /**
         * Time without any data from a busy upstream after which its attempts are moved, in milliseconds; engines send several
         * events a second.
         */
        const val SILENCE_TIMEOUT_MILLIS = 1_500L

        /**
         * Time after which an incomplete response head or event ends its attempt, in milliseconds; an upstream writes each of
         * them at once, and a lost packet is sent again within a second.
         */
        const val STALL_TIMEOUT_MILLIS = 1_500L

        /**
         * Membership intervals with several heartbeats a second, so that a failed host disappears from the address lists within
         * two seconds.
         */
        val MEMBERSHIP = MembershipSettings(periodMillis = 150, replyTimeoutMillis = 600, suspectMillis = 1_500)
    }
}

/** Starts a router with [settings] for [deployment]; the router stops when this scope ends. */
public suspend fun ResourceScope.gatewayProcess(settings: GatewaySettings, deployment: Deployment): GatewayProcess =
    install({ GatewayProcess(settings, deployment).apply { start() } }, { process, _ -> process.stop() })
