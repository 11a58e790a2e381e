package buckthornbay.testkit

import arrow.fx.coroutines.ResourceScope
import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.ServiceKind
import buckthornbay.protocol.Upstream
import buckthornbay.protocol.UpstreamId
import buckthornbay.store.ListedHost
import io.ktor.server.application.Application
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine

private const val LOOPBACK = "127.0.0.1"
private const val STOP_MILLIS = 50L

/**
 * Stand-ins on loopback for the platform and all upstreams of a desired state.
 *
 * @property state the desired state with the URLs of its upstreams replaced by those of the stand-ins.
 */
public class StandIns internal constructor(
    public val state: DesiredState,
    public val platformUrl: String,
    public val store: InMemoryObjectStore,
    public val engines: Map<UpstreamId, StandInEngine>,
    public val services: Map<UpstreamId, StandInService>,
) {
    /** Marks [upstream] as leaving in the host list of the platform. */
    public fun markLeaving(upstream: UpstreamId) {
        store.hosts = store.hosts.map { if (it.name == upstream.value) it.copy(leaving = true) else it }
    }
}

/**
 * Starts stand-ins for the platform and for all upstreams of [state], and stops them with the resource scope.
 *
 * @param platformPort port of the platform; 0 for any free port.
 * @param fixedPorts whether upstreams listen on the ports of their URLs in [state] instead of free ports.
 * @param profile performance model of the engines; the number of slots is taken from [state].
 *
 * ```kotlin
 * resourceScope { val standIns = standIns(state) }
 * ```
 */
public suspend fun ResourceScope.standIns(
    state: DesiredState,
    platformPort: Int = 0,
    fixedPorts: Boolean = false,
    profile: EngineProfile = EngineProfile(),
): StandIns {
    val store = InMemoryObjectStore()
    val platformUrl = serve(platformPort) { platformRoutes(store) }
    val kinds = state.services.associate { it.id to it.kind }
    val engines = HashMap<UpstreamId, StandInEngine>()
    val services = HashMap<UpstreamId, StandInService>()
    val upstreams = state.upstreams.map { upstream ->
        val port = if (fixedPorts) portOf(upstream) else 0
        val url = if (kinds[upstream.service] == ServiceKind.MODEL) {
            val engine = StandInEngine(profile.copy(slots = upstream.slots)).also { engines[upstream.id] = it }
            serve(port) { engineRoutes(engine) }
        } else {
            val service = StandInService().also { services[upstream.id] = it }
            serve(port) { plainRoutes(service) }
        }
        upstream.copy(url = url)
    }
    store.hosts = upstreams.map { ListedHost(it.id.value, it.url, upstream = true) }
    return StandIns(state.copy(upstreams = upstreams), platformUrl, store, engines, services)
}

private fun portOf(upstream: Upstream): Int = upstream.url.substringAfterLast(':').trimEnd('/').toInt()

private suspend fun ResourceScope.serve(port: Int, module: Application.() -> Unit): String {
    val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> = install(
        {
            embeddedServer(
                Netty,
                configure = {
                    connector {
                        host = LOOPBACK
                        this.port = port
                    }
                    workerGroupSize = 2
                    callGroupSize = 2
                },
                module = module,
            ).apply { start(wait = false) }
        },
        { server, _ -> server.stop(STOP_MILLIS, STOP_MILLIS) },
    )
    return "http://$LOOPBACK:${server.engine.resolvedConnectors().first().port}"
}
