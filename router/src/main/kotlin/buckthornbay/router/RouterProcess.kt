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
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.java.Java
import io.ktor.client.plugins.HttpTimeout
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

/** Where a router process is in its life; the chart `charts/host.toml` says what leads where. */
internal enum class HostState { STARTING, SERVING, DRAINING, STOPPED }

/** What can happen to a router process. */
internal enum class HostEvent { STATE_IN_FORCE, DRAIN, LAST_REQUEST_ENDED, STOP }

/** A router that listens, decides and serves until it is stopped. */
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
    private val pooled = HttpClient(Java) {
        expectSuccess = false
        engine { protocolVersion = java.net.http.HttpClient.Version.HTTP_1_1 }
        install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS }
    }
    private val fresh = HttpClient(CIO) {
        expectSuccess = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
        }
        install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS }
    }
    private val metrics = RouterMetrics()
    private val transport = PeerTransport(settings, incarnation, PeerClients(pooled, fresh), scope, loop, metrics, SystemClock)
    private val platform = HttpObjectStore(pooled, settings.platformUrl)
    private val watcher = StateWatcher(DesiredStateStore(platform), platform, loop, scope)
    private val chart: StateChart<HostState, HostEvent> = loadChart("host", HostState.entries, HostEvent.entries)
    private var state = chart.initial
    private val view = NodeView()
    private val drained = CompletableDeferred<Unit>()

    @Volatile
    private var catalog: Catalog? = null

    private val context = DriverContext(
        settings,
        loop,
        UpstreamClient(pooled, fresh),
        Explanations(settings.host, SystemClock),
        metrics,
        SystemClock,
        KeyClaims(platform),
        { catalog },
    )
    private val server: EmbeddedServer<*, *> = embeddedServer(Netty, port = settings.listenPort, host = settings.listenAddress) {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            FleetRoutes(context, transport, ::carryOut) { scope.launch { drain() } }.install(this)
            CallerRoutes(context, incarnation, view).install(this)
        }
    }

    internal fun start() {
        loop.effects = EffectRunner(::carryOut)
        server.start(wait = false)
        loop.start(scope)
        log.info { "host ${settings.host} listens on ${settings.listenAddress}:${settings.listenPort} incarnation=$incarnation" }
    }

    /** Takes no new work, and returns when the last request in progress has ended or the drain time is over. */
    public suspend fun drain() {
        if (!move(HostEvent.DRAIN)) return drained.await()
        log.info { "host ${settings.host} drains" }
        view.draining = true
        loop.post { node, now -> node.drain(now) }
        val ended = withTimeoutOrNull(settings.drainMillis) {
            delay(SETTLE_MILLIS)
            while (loop.ask { node, _ -> node.status().requestsInProgress } > 0) delay(DRAIN_POLL_MILLIS)
        }
        move(if (ended == null) HostEvent.STOP else HostEvent.LAST_REQUEST_ENDED)
        drained.complete(Unit)
    }

    /** Returns when a drain that a signal or an operator asked for is over. */
    public suspend fun awaitDrained(): Unit = drained.await()

    internal fun stop() {
        server.stop(STOP_GRACE_MILLIS, STOP_LIMIT_MILLIS)
        scope.cancel()
        loop.close()
        pooled.close()
        fresh.close()
        log.info { "host ${settings.host} stopped" }
    }

    private fun carryOut(effect: NodeEffect) {
        when (effect) {
            is NodeEffect.Send -> transport.offer(effect.url, effect.host, effect.messages)
            is NodeEffect.Request -> context.deliver(effect)
            is NodeEffect.FetchState -> fetchState(effect)
            is NodeEffect.StateInForce -> {
                catalog = Catalog(effect.state)
                move(HostEvent.STATE_IN_FORCE)
                log.info { "configuration version=${effect.state.version} apply=${effect.state.applyId} is in force" }
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
    private fun move(event: HostEvent): Boolean {
        state = chart.next(state, event) ?: return false
        return true
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        const val MAX_CONNECTIONS = 10_000
        const val SETTLE_MILLIS = 300L
        const val DRAIN_POLL_MILLIS = 50L
        const val STOP_GRACE_MILLIS = 100L
        const val STOP_LIMIT_MILLIS = 1_000L
    }
}

/**
 * Starts a router with [settings], which stops when this scope ends.
 *
 * ```kotlin
 * resourceScope { routerProcess(settings).awaitDrained() }
 * ```
 */
public suspend fun ResourceScope.routerProcess(settings: RouterSettings): RouterProcess =
    install({ RouterProcess(settings).apply { start() } }, { process, _ -> process.stop() })
