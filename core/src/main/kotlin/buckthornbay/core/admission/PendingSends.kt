package buckthornbay.core.admission

import buckthornbay.core.Clock
import buckthornbay.core.load.Candidate
import buckthornbay.core.load.SendOutcome
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId

/** The requests to engines, and those with stated work, that were sent and have not ended, with what is charged for them. */
internal class PendingSends(private val accounts: WorkspaceAccounts, private val clock: Clock) {
    /** A request in progress at the engine [upstream], or at a plain service if that is null. */
    private class PendingSend(
        val service: ServiceId,
        val workspace: WorkspaceId?,
        val tokens: Double,
        val upstream: UpstreamId?,
        val sentAtMillis: Long,
        var startedAtMillis: Long? = null,
    )

    private val byRequest = HashMap<String, PendingSend>()

    /** Charges the work of [request], which is sent to [upstream] now. */
    fun sent(request: DispatchedRequest, upstream: Candidate) {
        val engine = upstream.id.takeIf { upstream.cache != null }
        if (engine == null && request.demand == null) return
        val tokens = request.demand?.workTokens ?: 0.0
        val nowMillis = clock.nowMillis()
        request.workspaceId?.let { accounts.startedWork.charge(nowMillis, it, tokens) }
        if (engine != null) {
            accounts.engineWork.sent(request.service, tokens)
            accounts.occupancy.sent(engine)
        }
        byRequest[request.id] = PendingSend(request.service, request.workspaceId, tokens, engine, nowMillis)
    }

    /** Records that the response to the latest attempt of request [id] has begun. */
    fun responseStarted(id: String) {
        val sent = byRequest[id]?.takeIf { it.startedAtMillis == null } ?: return
        val nowMillis = clock.nowMillis()
        sent.startedAtMillis = nowMillis
        if (sent.upstream != null) accounts.engineWork.begun(nowMillis, sent.service, sent.tokens)
    }

    /**
     * Records that the latest attempt of request [id] ended with [outcome].
     *
     * Work that has not begun is not charged to the workspace, which would otherwise look the better served the more of its
     * requests engines reject. If the caller left, the engine may have worked on it.
     */
    fun attemptEnded(id: String, outcome: SendOutcome) {
        val sent = byRequest.remove(id) ?: return
        sent.upstream?.let(accounts.occupancy::ended)
        val startedAtMillis = sent.startedAtMillis
        if (startedAtMillis != null) {
            val heldMillis = clock.nowMillis() - startedAtMillis
            if (sent.upstream != null && outcome == SendOutcome.ANSWERED) accounts.occupancy.answered(sent.service, heldMillis)
            return
        }
        if (sent.upstream != null) accounts.engineWork.dropped(sent.service, sent.tokens)
        if (sent.workspace == null || outcome == SendOutcome.ABANDONED) return
        accounts.startedWork.refund(clock.nowMillis(), sent.workspace, sent.tokens, sent.sentAtMillis)
    }
}
