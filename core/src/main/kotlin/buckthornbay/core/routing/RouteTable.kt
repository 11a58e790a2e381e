package buckthornbay.core.routing

import buckthornbay.protocol.ServiceId
import org.apache.commons.codec.digest.MurmurHash3

/** Where a request may go, or why it may not. */
public sealed interface RouteMatch {
    /** The request may go to [route] for [workspace]; public routes may have none. */
    public data class Found(public val route: Route, public val workspace: WorkspaceKeys?) : RouteMatch

    /** No route begins the path. */
    public data object NoRoute : RouteMatch

    /** The route needs a key and the request has none that is known. */
    public data object UnknownKey : RouteMatch
}

/** Finds routes and workspaces of one [configuration]. */
public class RouteTable(public val configuration: FleetConfiguration) {
    private val routesByHost: Map<String, List<Route>> = configuration.routes
        .groupBy { it.hostName }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val workspaceByKey: Map<String, WorkspaceKeys> =
        configuration.workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()
    private val services: Map<ServiceId, ServiceSpec> = configuration.services.associateBy { it.id }

    /** Returns the service [id], or null where this version has none. */
    public fun service(id: ServiceId): ServiceSpec? = services[id]

    /** Finds the route with the longest prefix of [path] under [hostName], and the workspace that holds [key]. */
    public fun match(hostName: String, path: String, key: String?): RouteMatch {
        val route =
            routesByHost[hostName.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) } ?: return RouteMatch.NoRoute
        val workspace = key?.let { workspaceByKey[it] }
        val needsKey = configuration.workspaces.isNotEmpty() && !route.public
        if (workspace == null && needsKey) return RouteMatch.UnknownKey
        return RouteMatch.Found(route, workspace)
    }

    /**
     * Picks the service that a request goes to.
     *
     * The choice depends on [requestId] alone, so that every attempt of one request goes to the same service.
     */
    public fun targetOf(route: Route, requestId: String): ServiceId? {
        val targets = route.targets.filter { it.weight > 0 }
        if (targets.size <= 1) return (targets.firstOrNull() ?: route.targets.firstOrNull())?.service
        var left = unitIntervalHash(requestId) * targets.sumOf { it.weight }
        for (target in targets) {
            left -= target.weight
            if (left < 0) return target.service
        }
        return targets.last().service
    }

    private fun unitIntervalHash(text: String): Double {
        val bytes = text.encodeToByteArray()
        val hash = MurmurHash3.hash32x86(bytes, 0, bytes.size, 0).toLong() and UNSIGNED_INT_MASK
        return hash / (UNSIGNED_INT_MASK + 1.0)
    }

    private companion object {
        const val UNSIGNED_INT_MASK = 0xFFFF_FFFFL
    }
}
