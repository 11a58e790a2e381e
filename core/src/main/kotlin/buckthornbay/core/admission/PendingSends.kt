package buckthornbay.core.admission

import buckthornbay.core.Clock
import buckthornbay.core.load.Candidate
import buckthornbay.core.load.SendOutcome
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId

/** The requests with stated work that were sent and whose response has not begun, with what is charged for them. */
internal class PendingSends(private val accounts: WorkspaceAccounts, private val clock: Clock) {
    private class PendingSend(
        val service: ServiceId,
        val workspace: WorkspaceId?,
        val tokens: Double,
        val isToEngine: Boolean,
        val sentAtMillis: Long,
    )

    private val byRequest = HashMap<String, PendingSend>()

    /** Charges the work of [request], which is sent to [upstream] now. */
    fun sent(request: DispatchedRequest, upstream: Candidate) {
        val tokens = request.demand?.workTokens ?: return
        val nowMillis = clock.nowMillis()
        val isToEngine = upstream.cache != null
        request.workspaceId?.let { accounts.startedWork.charge(nowMillis, it, tokens) }
        if (isToEngine) accounts.engineWork.sent(request.service, tokens)
        byRequest[request.id] = PendingSend(request.service, request.workspaceId, tokens, isToEngine, nowMillis)
    }

    /** Records that the response to the latest attempt of request [id] has begun. */
    fun responseStarted(id: String) {
        val sent = byRequest.remove(id) ?: return
        if (sent.isToEngine) accounts.engineWork.begun(clock.nowMillis(), sent.service, sent.tokens)
    }

    /**
     * Records that the latest attempt of request [id] ended with [outcome].
     *
     * Work that has not begun is not charged to the workspace, which would otherwise look the better served the more of its
     * requests engines reject. If the caller left, the engine may have worked on it.
     */
    fun attemptEnded(id: String, outcome: SendOutcome) {
        val sent = byRequest.remove(id) ?: return
        if (sent.isToEngine) accounts.engineWork.dropped(sent.service, sent.tokens)
        if (sent.workspace == null || outcome == SendOutcome.ABANDONED) return
        accounts.startedWork.refund(clock.nowMillis(), sent.workspace, sent.tokens, sent.sentAtMillis)
    }
}
