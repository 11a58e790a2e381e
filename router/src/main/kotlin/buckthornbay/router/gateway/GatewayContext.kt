package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.Admission
import buckthornbay.core.admission.Dispatcher
import buckthornbay.core.admission.WorkspaceAccounts
import buckthornbay.core.wire.CallerInterface
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.EventLoop

/** The components that request handlers share. All of them are confined to one event loop. */
internal class GatewayContext(
    val clock: Clock,
    val eventLoop: EventLoop,
    val callerInterface: CallerInterface,
    val connections: ConnectionPool,
    val admission: Admission,
    val accounts: WorkspaceAccounts,
    val upstreams: UpstreamTable,
    val retryBudgets: RetryBudgets,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
) {
    val allocator: ByteBufAllocator = UnpooledByteBufAllocator.DEFAULT

    lateinit var dispatcher: Dispatcher

    /** Requests in progress. */
    val requests = LinkedHashSet<ProxiedRequest>()

    fun requestEnded(request: ProxiedRequest) {
        requests.remove(request)
    }
}
