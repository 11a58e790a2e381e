package buckthornbay.router.gateway

import arrow.fx.coroutines.ResourceScope
import buckthornbay.core.Clock
import buckthornbay.core.admission.AdmissionPolicy
import buckthornbay.core.admission.CallerPatience
import buckthornbay.core.admission.FairShares
import buckthornbay.core.admission.FleetAccounts
import buckthornbay.core.admission.FleetBacklog
import buckthornbay.core.load.Placement
import buckthornbay.core.membership.Membership
import buckthornbay.core.membership.MembershipSettings
import buckthornbay.core.membership.WatchDuty
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.wire.CallerInterface
import buckthornbay.core.wire.FleetFormat
import buckthornbay.protocol.Member
import buckthornbay.protocol.MemberStatus
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

/** How a deployment's callers, upstreams and store are spoken to. */
public class Deployment(
    public val callerInterface: CallerInterface,
    public val format: FleetFormat,
    public val store: (HttpTransport, address: String) -> ObjectCollections,
)

/** A router on a deployment's platform; all its state lives on one event loop. */
public class GatewayProcess internal constructor(private val settings: GatewaySettings, private val deployment: Deployment) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop: EventLoop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + eventLoop.asCoroutineDispatcher())
    private val clock: Clock = SystemClock
    private val incarnation = System.currentTimeMillis()
    private val random = RandomSource.SPLIT_MIX_64.create(incarnation xor settings.host.value.hashCode().toLong())
    private val log = DecisionLog(clock)
    private val registry = UpstreamRegistry()
    private val regions = settings.zones.associate { it.name to it.region }
    private val upstreams = UpstreamTable(registry, { regions[it] }, clock) { membership.live().size }
    private val begun = FleetAccounts(settings.bounds.shareWindowSeconds * MILLIS_PER_SECOND)
    private val accounts =
        WorkspaceAccounts(begun, FleetAccounts(ASKED_FADE_MILLIS), FleetBacklog(begun), clock) {
            context.dispatcher.workspacesWaitingFor(it)
        }
    private val shares = FairShares(accounts.asked)
    private val connections = ConnectionPool(group, clock, PoolSettings())
    private val transport = NettyTransport(connections)
    private val knowledge = FleetKnowledge(deployment.format, registry, clock, log, ::knowledgeChanged)
    private val membership = Membership(
        Member(settings.host, settings.listen.control, settings.region, settings.zone, incarnation),
        settings.seeds - settings.listen.control,
        random,
        MEMBERSHIP,
    )
    private val duty = WatchDuty(settings.host)
    private val accountsExchange = AccountsExchange(membership, accounts, transport, log)
    private val peers =
        PeerExchange(membership, accounts, knowledge, transport, log, duty, accountsExchange, scope)
    private val store = deployment.store(transport, settings.store.address)
    private val watcher =
        StoreWatcher(store, deployment.format, knowledge, registry, StoreContact(duty, clock, log, peers::watches), random)
    private val metrics = GatewayMetrics()
    private val context: GatewayContext = GatewayContext(
        clock,
        eventLoop,
        deployment.callerInterface,
        connections,
        Admission(AdmissionPolicy(random), shares, CallerPatience()),
        log,
        metrics,
    )
    private val callers = CallerHandler(context) { knowledge.routes }
    private val hostHandler = HostHandler(deployment.callerInterface, ::answerHostQuestion)
    private val listeners = Listeners(group, clock)
    private val stopped = CompletableDeferred<Unit>()

    internal fun start() {
        log.versionFields = { "config_version=${knowledge.configurationVersion} registry_revision=${knowledge.registryRevision}" }
        context.dispatcher = Dispatcher(
            upstreams,
            begun,
            accounts.backlog,
            Placement(settings.region),
            settings.bounds.run { RetrySettings(retryRatio, (retryWindowSeconds * MILLIS_PER_SECOND).toLong(), retrySlack) },
            clock,
            liveHosts = { membership.live().size },
        )
        listeners.listen(settings.listen.callers, callers)
        settings.listen.run { listOfNotNull(readiness, control, addresses, metrics) }.distinct()
            .forEach { listeners.listen(it, hostHandler) }
        scope.launch { keepUp() }
        scope.launch { watcher.start(scope) }
        scope.launch { peers.start() }
        log.stateChange("event=started host=${settings.host} incarnation=$incarnation callers=${settings.listen.callers}")
    }

    /** Takes no new connections, ends what is in progress, and returns when that is done or the grace time is nearly over. */
    public suspend fun drain() {
        scope.launch { stopServing() }
        stopped.await()
    }

    /** Takes over what may change in the settings while the process runs: the peers to ask first. */
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
        }.await(CLOSE_MILLIS)
        group.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS).await(CLOSE_MILLIS)
        log.stateChange("event=stopped host=${settings.host}")
    }

    private suspend fun stopServing() {
        val signalledAtMillis = clock.nowMillis()
        val graceMillis = (settings.bounds.graceSeconds * MILLIS_PER_SECOND).toLong()
        log.stateChange("event=stopping host=${settings.host} requests=${context.requests.size}")
        callers.closing = true
        peers.announceLeaving()
        delay(LINGER_MILLIS.milliseconds)
        callers.refusing = true
        listeners.close()
        while (clock.nowMillis() - signalledAtMillis < graceMillis - STOP_MARGIN_MILLIS) {
            callers.connections.toList().forEach { it.closeIfIdle() }
            if (context.requests.isEmpty()) break
            delay(DRAIN_POLL_MILLIS.milliseconds)
        }
        log.stateChange("event=drained host=${settings.host} requests_left=${context.requests.size}")
        delay(FLUSH_MILLIS.milliseconds)
        stopped.complete(Unit)
    }

    /** Periodic work: overdue connections, lapsed registrations and silent upstreams. */
    private suspend fun keepUp() {
        while (true) {
            val nowMillis = clock.nowMillis()
            (callers.connections + hostHandler.connections).forEach { it.closeIfTimedOut(nowMillis) }
            connections.closeStale()
            if (registry.expire(nowMillis).isNotEmpty()) knowledgeChanged()
            moveFromSilentUpstreams(nowMillis)
            context.dispatcher.placeAll()
            delay(KEEP_UP_MILLIS.milliseconds)
        }
    }

    private fun moveFromSilentUpstreams(nowMillis: Long) {
        for (upstream in upstreams.all()) {
            val waiting = upstream.attempts.filter { nowMillis - it.sentAtMillis > SILENT_MILLIS }
            if (waiting.isEmpty() || nowMillis - upstream.heardAtMillis < SILENT_MILLIS) continue
            waiting.filter { it.mayRetry }.forEach { it.failAndClose("nothing came from the upstream for $SILENT_MILLIS ms") }
        }
    }

    private fun knowledgeChanged() {
        upstreams.routes = knowledge.routes
        shares.tokensPerSecond = knowledge.routes?.configuration?.tokensPerSecond
        upstreams.refresh()
        context.dispatcher.placeAll()
        peers.announce()
    }

    private fun answerHostQuestion(request: ReceivedRequest): HostAnswer = when (request.path) {
        deployment.callerInterface.readinessPath -> readiness()
        deployment.callerInterface.addressesPath -> addresses(request)
        METRICS_PATH -> HostAnswer(HttpResponseStatus.OK, metrics.scrape(), "text/plain; version=0.0.4")
        else -> {
            val reply = peers.answer(request.target, request.body.toString(Charsets.UTF_8))
            HostAnswer(HttpResponseStatus.valueOf(reply.status), reply.body)
        }
    }

    private fun readiness(): HostAnswer {
        val ready = knowledge.routes != null && knowledge.registryKnown && !callers.closing
        return HostAnswer(if (ready) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE, "{}")
    }

    private fun addresses(request: ReceivedRequest): HostAnswer {
        val query = deployment.callerInterface.addressQuery(queryParameters(request.target))
        val alive = membership.all().filter { it.status == MemberStatus.ALIVE }
        val addresses = hostsFor(query, alive).take(MAX_ADDRESSES).map(::callersAddressOf)
        return HostAnswer(HttpResponseStatus.OK, deployment.callerInterface.addressAnswer(addresses, ADDRESS_TTL_MILLIS))
    }

    /** All hosts of a fleet use the same ports. */
    private fun callersAddressOf(member: Member): String =
        member.url.substringBeforeLast(':') + ":" + settings.listen.callers.substringAfterLast(':')

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /**
         * Time in which demand is forgotten, in milliseconds: several exchanges of news, and a quarter of the shares' window.
         */
        const val ASKED_FADE_MILLIS = 1_200.0
        const val METRICS_PATH = "/metrics"

        /**
         * How long callers may use an answer, in milliseconds: short enough that a host that stops is forgotten in its grace
         * time.
         */
        const val ADDRESS_TTL_MILLIS = 2_000L
        const val MAX_ADDRESSES = 64

        /**
         * How long new connections and requests are taken after the signal to stop, in milliseconds; callers ask anew
         * meanwhile.
         */
        const val LINGER_MILLIS = 3_000L

        /** Time before the kill in which the process ends by itself, in milliseconds. */
        const val STOP_MARGIN_MILLIS = 500L
        const val DRAIN_POLL_MILLIS = 50L
        const val FLUSH_MILLIS = 50L

        /** Time for closing all sockets at the end, in milliseconds; nothing is in progress on them by then. */
        const val CLOSE_MILLIS = 200L

        /** How often overdue things are looked for, in milliseconds: a tenth of the shortest bound that they have. */
        const val KEEP_UP_MILLIS = 200L

        /**
         * How long an upstream that has work may send nothing at all, in milliseconds; engines send several events a second.
         */
        const val SILENT_MILLIS = 1_500L

        /**
         * Peers are heard from several times a second, so that a host that is gone is left out of addresses within two
         * seconds.
         */
        val MEMBERSHIP = MembershipSettings(periodMillis = 150, answerMillis = 600, suspectMillis = 1_500)
    }
}

/** Starts a router with [settings] on [deployment], which stops when this scope ends. */
public suspend fun ResourceScope.gatewayProcess(settings: GatewaySettings, deployment: Deployment): GatewayProcess =
    install({ GatewayProcess(settings, deployment).apply { start() } }, { process, _ -> process.stop() })
