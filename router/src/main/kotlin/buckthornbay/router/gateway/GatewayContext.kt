package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.Admission
import buckthornbay.core.admission.BufferBudget
import buckthornbay.core.admission.ConnectionBudget
import buckthornbay.core.admission.Dispatcher
import buckthornbay.core.admission.WorkspaceAccounts
import buckthornbay.core.load.StartPace
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.core.wire.CallerInterface
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.EventLoop
import io.netty.util.internal.PlatformDependent

/** The components that requests use to reach upstreams. */
internal class UpstreamAccess(
    val registry: UpstreamRegistry,
    val upstreams: UpstreamTable,
    val connections: ConnectionPool,
    val probe: UpstreamProbe,
    val retryBudgets: RetryBudgets,
    val crashWatch: CrashWatch,
    val limits: UpstreamLimits,
    val notices: NoticeWatch,
)

/** The request rate limits that upstreams state, and the pace of those that have just started. */
internal class UpstreamLimits(val stated: RateLimitWatch, val startPace: StartPace)

/** The components that request handlers share. All of them are confined to one event loop. */
internal class GatewayContext(
    val clock: Clock,
    val eventLoop: EventLoop,
    val callerInterface: CallerInterface,
    val access: UpstreamAccess,
    val admission: Admission,
    val accounts: WorkspaceAccounts,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
) {
    val allocator: ByteBufAllocator = UnpooledByteBufAllocator.DEFAULT

    /** The memory for bodies and incomplete events of all connections together. */
    val buffers = BufferBudget(PlatformDependent.maxDirectMemory() / BUFFER_PART_OF_MEMORY)

    /** Open connections of all kinds, and what is left of them. */
    lateinit var connectionBudget: ConnectionBudget

    lateinit var dispatcher: Dispatcher

    lateinit var streamVersions: StreamVersions

    /** Requests in progress. */
    val requests = LinkedHashSet<ProxiedRequest>()

    fun requestEnded(request: ProxiedRequest) {
        requests.remove(request)
    }

    private companion object {
        /**
         * Part of the memory for buffers that bodies and events may take together, as a divisor; the rest is for reads and writes
         * in progress.
         */
        const val BUFFER_PART_OF_MEMORY = 4
    }
}
