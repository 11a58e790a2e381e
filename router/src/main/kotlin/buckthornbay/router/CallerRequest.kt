package buckthornbay.router

import buckthornbay.protocol.LatencyClass
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.Service
import buckthornbay.protocol.ServiceKind
import buckthornbay.protocol.Workspace
import io.ktor.http.Headers
import io.ktor.http.HttpMethod

/**
 * A caller's request, authenticated and read.
 *
 * @property uri path and query as the caller sent them.
 * @property unrepeatable whether it may run at most once.
 * @property idempotencyKey the key that the caller chose, if any.
 */
internal data class CallerRequest(
    val id: RequestId,
    val workspace: Workspace,
    val service: Service,
    val latencyClass: LatencyClass,
    val pool: PoolId,
    val method: HttpMethod,
    val uri: String,
    val headers: Headers,
    val body: ByteArray,
    val unrepeatable: Boolean,
    val idempotencyKey: String?,
) {
    val isModel: Boolean get() = service.kind == ServiceKind.MODEL
}
