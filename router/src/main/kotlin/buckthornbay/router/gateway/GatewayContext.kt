package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.AdmissionPolicy
import buckthornbay.core.admission.CallerRetryTracker
import buckthornbay.core.admission.FairShares
import buckthornbay.core.wire.CallerInterface
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.EventLoop

/**
 * The components that decide whether and how long a request may wait.
 *
 * @property priorWaits how long callers of repeated requests have waited before.
 */
internal class Admission(val policy: AdmissionPolicy, val shares: FairShares, val priorWaits: CallerRetryTracker)

/** The components that request handlers share. All of them are confined to one event loop. */
internal class GatewayContext(
    val clock: Clock,
    val eventLoop: EventLoop,
    val callerInterface: CallerInterface,
    val connections: ConnectionPool,
    val admission: Admission,
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
