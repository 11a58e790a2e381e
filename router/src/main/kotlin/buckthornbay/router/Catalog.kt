package buckthornbay.router

import buckthornbay.protocol.PoolId
import buckthornbay.protocol.Service
import buckthornbay.protocol.ServiceKind
import buckthornbay.protocol.Upstream
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.VersionedState
import buckthornbay.protocol.Workspace
import buckthornbay.protocol.WorkspaceId
import org.apache.commons.codec.digest.DigestUtils

/** The current desired state, indexed for the lookups that requests need. */
internal class Catalog(val state: VersionedState) {
    private val workspacesByKeyHash: Map<String, Workspace> =
        state.state.workspaces.flatMap { workspace -> workspace.keyHashes.map { it to workspace } }.toMap()
    private val servicesByModel: Map<String, Service>
    private val plainServices = state.state.services.filter {
        it.kind == ServiceKind.PLAIN
    }.sortedByDescending { it.pathPrefix?.length }
    private val upstreams: Map<UpstreamId, Upstream> = state.state.upstreams.associateBy { it.id }
    private val pools: Map<String, Set<PoolId>> =
        state.state.upstreams.groupBy({ it.service.value }, { it.pool }).mapValues { it.value.toSet() }

    val workspaceIds: Set<WorkspaceId> = state.state.workspaces.mapTo(HashSet()) { it.id }

    init {
        val services = state.state.services.associateBy { it.id }
        servicesByModel = state.state.upstreams
            .flatMap { upstream -> upstream.models.mapNotNull { model -> services[upstream.service]?.let { model to it } } }
            .toMap()
    }

    /** Returns the workspace to which the bearer token [key] belongs, or null if it is unknown. */
    fun workspaceOf(key: String): Workspace? = workspacesByKeyHash[DigestUtils.sha256Hex(key)]

    fun modelService(model: String): Service? = servicesByModel[model]

    fun plainService(path: String): Service? = plainServices.firstOrNull { path.startsWith(it.pathPrefix.orEmpty()) }

    fun upstream(id: UpstreamId): Upstream? = upstreams[id]

    /** Returns the pools of [service] in all regions. */
    fun poolsOf(service: Service): Set<PoolId> = pools[service.id.value].orEmpty()
}
