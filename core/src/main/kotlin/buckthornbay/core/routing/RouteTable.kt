package buckthornbay.core.routing

import buckthornbay.protocol.ServiceId
import org.apache.commons.codec.digest.MurmurHash3

/** The result of matching a request against the routes. */
public sealed interface RouteMatch {
    /** The request matches [route] and belongs to [workspace], which may be null if no key is needed. */
    public data class Found(public val route: Route, public val workspace: WorkspaceKeys?) : RouteMatch

    /** No route matches the host name and path. */
    public data object NoRoute : RouteMatch

    /** The route requires a key, but the request has no known key. */
    public data object UnknownKey : RouteMatch
}

/** A lookup table of the routes and workspaces in one version of the [configuration]. */
public class RouteTable(public val configuration: FleetConfiguration) {
    private val routesByHost: Map<String, List<Route>> = configuration.routes
        .groupBy { it.hostName }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val workspaceByKey: Map<String, WorkspaceKeys> =
        configuration.workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()
    private val services: Map<ServiceId, ServiceSpec> = configuration.services.associateBy { it.id }

    /** Returns the service [id], or null if this version does not contain it. */
    public fun service(id: ServiceId): ServiceSpec? = services[id]

    /** Finds the route of [hostName] with the longest matching prefix of [path], and the workspace of [key]. */
    public fun match(hostName: String, path: String, key: String?): RouteMatch {
        val route =
            routesByHost[hostName.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) } ?: return RouteMatch.NoRoute
        val workspace = key?.let { workspaceByKey[it] }
        val needsKey = configuration.workspaces.isNotEmpty() && !route.public
        if (workspace == null && needsKey) return RouteMatch.UnknownKey
        return RouteMatch.Found(route, workspace)
    }

    /**
     * Selects the service of a request on [route] according to the target weights; null if the route has no targets.
     *
     * The selection depends only on [requestId], so that all attempts of a request use the same service.
     */
    public fun selectService(route: Route, requestId: String): ServiceId? {
        val targets = route.targets.filter { it.weight > 0 }
        if (targets.size <= 1) return (targets.firstOrNull() ?: route.targets.firstOrNull())?.service
        var remaining = unitIntervalHash(requestId) * targets.sumOf { it.weight }
        for (target in targets) {
            remaining -= target.weight
            if (remaining < 0) return target.service
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
