package buckthornbay.router

import arrow.fx.coroutines.ResourceScope
import buckthornbay.core.chart.StateChart
import buckthornbay.core.chart.loadChart
import buckthornbay.core.node.NodeEffect
import buckthornbay.core.node.RouterNode
import buckthornbay.core.node.buildNodeSettings
import buckthornbay.protocol.Member
import buckthornbay.store.DesiredStateStore
import buckthornbay.store.HttpObjectStore
import buckthornbay.store.KeyClaims
import buckthornbay.store.SystemClock
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.server.application.install
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.routing.routing
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** The lifecycle state of a router process; `charts/host.toml` defines the transitions. */
internal enum class HostState { STARTING, SERVING, DRAINING, STOPPED }

/** An event that changes the lifecycle state of a router process. */
internal enum class HostEvent { STATE_IN_FORCE, DRAIN, LAST_REQUEST_ENDED, STOP }

/** A running router, which accepts and schedules requests until it is stopped. */
public class RouterProcess internal constructor(private val settings: RouterSettings) {
    private val incarnation = System.currentTimeMillis()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val node = RouterNode(
        buildNodeSettings(Member(settings.host, settings.url, settings.region, settings.zone, incarnation)) {
            seedUrls = settings.seedUrls - settings.url
            seed = incarnation
        },
    )
    private val loop = NodeLoop(node, SystemClock)
    private val clients = HostClients()
    private val metrics = RouterMetrics()
    private val transport = PeerTransport(settings, incarnation, clients, scope, loop, metrics, SystemClock)
    private val platform = HttpObjectStore(clients.pooled, settings.platformUrl)
    private val watcher = StateWatcher(DesiredStateStore(platform), platform, loop, scope)
    private val chart: StateChart<HostState, HostEvent> = loadChart("host", HostState.entries, HostEvent.entries)
    private var state = chart.initial
    private val nodeView = NodeView()
    private val drained = CompletableDeferred<Unit>()

    @Volatile
    private var catalog: Catalog? = null

    private val context = DriverContext(
        settings,
        loop,
        UpstreamClient(clients),
        Explanations(settings.host, SystemClock),
        metrics,
        SystemClock,
        KeyClaims(platform),
        { catalog },
    )
    private val server: EmbeddedServer<*, *> = embeddedServer(Netty, port = settings.listenPort, host = settings.listenAddress) {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            FleetRoutes(context, transport, ::execute) { scope.launch { drain() } }.install(this)
            CallerRoutes(context, incarnation, nodeView).install(this)
        }
    }

    internal fun start() {
        loop.effects = EffectRunner(::execute)
        server.start(wait = false)
        loop.start(scope)
        log.info { "host ${settings.host} listens on ${settings.listenAddress}:${settings.listenPort} incarnation=$incarnation" }
    }

    /** Stops accepting requests and returns when all requests in progress have ended or the drain timeout has expired. */
    public suspend fun drain() {
        if (!transition(HostEvent.DRAIN)) return drained.await()
        log.info { "host ${settings.host} draining" }
        nodeView.draining = true
        loop.post { node, now -> node.drain(now) }
        val ended = withTimeoutOrNull(settings.drainMillis) {
            delay(FIRST_DRAIN_POLL_MILLIS)
            while (loop.ask { node, _ -> node.status().requestsInProgress } > 0) delay(DRAIN_POLL_MILLIS)
        }
        transition(if (ended == null) HostEvent.STOP else HostEvent.LAST_REQUEST_ENDED)
        drained.complete(Unit)
    }

    /** Waits until a drain requested by a signal or an operator has ended. */
    public suspend fun awaitDrained(): Unit = drained.await()

    internal fun stop() {
        server.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
        scope.cancel()
        loop.close()
        clients.close()
        log.info { "host ${settings.host} stopped" }
    }

    private fun execute(effect: NodeEffect) {
        when (effect) {
            is NodeEffect.Send -> transport.send(effect.url, effect.host, effect.messages)
            is NodeEffect.Request -> context.deliver(effect)
            is NodeEffect.FetchState -> fetchState(effect)
            is NodeEffect.ApplyState -> {
                catalog = Catalog(effect.state)
                transition(HostEvent.STATE_IN_FORCE)
                log.info { "configuration version=${effect.state.version} apply=${effect.state.applyId} applied" }
            }
            is NodeEffect.Watch -> watcher.setWatching(effect.watching)
            is NodeEffect.LogDecision -> log.info { effect.decision }
        }
    }

    private fun fetchState(effect: NodeEffect.FetchState) {
        scope.launch {
            val state = transport.fetchState(effect.url) ?: return@launch
            loop.post { node, now -> node.offerState(now, state) }
        }
    }

    @Synchronized
    private fun transition(event: HostEvent): Boolean {
        state = chart.next(state, event) ?: return false
        return true
    }

    private companion object {
        /** Delay before the first check for requests in progress, in milliseconds. */
        const val FIRST_DRAIN_POLL_MILLIS = 300L
        const val DRAIN_POLL_MILLIS = 50L
        const val STOP_GRACE_MILLIS = 100L
        const val STOP_TIMEOUT_MILLIS = 1_000L
    }
}

/**
 * Starts a router with [settings] and stops it when this scope ends.
 *
 * ```kotlin
 * resourceScope { routerProcess(settings).awaitDrained() }
 * ```
 */
public suspend fun ResourceScope.routerProcess(settings: RouterSettings): RouterProcess =
    install({ RouterProcess(settings).apply { start() } }, { process, _ -> process.stop() })
