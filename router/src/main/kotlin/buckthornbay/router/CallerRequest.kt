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
 * An authenticated request of a caller with its complete body.
 *
 * @property uri the path and query, as received.
 * @property unrepeatable whether the request may run at most once.
 * @property idempotencyKey the value of the `Idempotency-Key` header, or null if there is none.
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
