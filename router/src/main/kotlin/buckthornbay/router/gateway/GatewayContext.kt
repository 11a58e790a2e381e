package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.AdmissionPolicy
import buckthornbay.core.admission.CallerRetryTracker
import buckthornbay.core.admission.FairShares
import buckthornbay.core.wire.CallerInterface
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.EventLoop

/** The decisions about when a request may go, wait or must be refused. */
internal class Admission(val policy: AdmissionPolicy, val shares: FairShares, val patience: CallerRetryTracker)

/** What the handlers of requests share; all of it lives on one event loop. */
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
