package buckthornbay.router.gateway

import buckthornbay.core.admission.AccountsAggregation
import buckthornbay.core.admission.SourceAccounts
import buckthornbay.core.membership.Membership
import buckthornbay.protocol.Member
import buckthornbay.protocol.WireJson
import buckthornbay.store.HttpCall
import buckthornbay.store.HttpTransport
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.builtins.ListSerializer
import kotlin.time.Duration.Companion.milliseconds

/** The messages of the [aggregation] of workspace accounts in fleets that are too large for heartbeats to carry the accounts. */
internal class AccountsExchange(
    private val membership: Membership,
    private val aggregation: AccountsAggregation,
    private val transport: HttpTransport,
    private val log: DecisionLog,
) {
    /** Whether the fleet is too large for the accounts to be carried in heartbeats. */
    val isNeeded: Boolean get() = membership.live().size > MAX_PAIRWISE_HOSTS

    fun start(scope: CoroutineScope) {
        scope.launchLoop("exchange of accounts", log) {
            while (true) {
                if (isNeeded) aggregation.targets().forEach { target -> scope.launch { exchange(target) } }
                delay(PERIOD_MILLIS.milliseconds)
            }
        }
    }

    /** Merges the accounts in a peer's request [body] and returns the response body with the accounts that the peer needs. */
    fun answer(body: String): String {
        val received = readPeerBody(FORMAT, body, log).orEmpty()
        received.forEach(aggregation::merge)
        return encode(received.firstOrNull()?.let(aggregation::answerTo).orEmpty())
    }

    private suspend fun exchange(target: Member) {
        val call = HttpCall("POST", PATH, encode(listOf(aggregation.accountsFor(target))))
        val reply = transport.call(target.url, call, CALL_TIMEOUT_MILLIS).getOrElse { return }
        readPeerBody(FORMAT, reply.body, log, target.url).orEmpty().forEach(aggregation::merge)
    }

    private fun encode(entries: List<SourceAccounts>): String = WireJson.encodeToString(FORMAT, entries)

    companion object {
        const val PATH = "/v1/peers/accounts"

        private val FORMAT = ListSerializer(SourceAccounts.serializer())

        /** Largest fleet, in hosts, in which pairwise heartbeats spread the accounts within about a second. */
        private const val MAX_PAIRWISE_HOSTS = 12

        /** Period of the exchange, in milliseconds; a host's accounts reach all other hosts after three exchanges. */
        private const val PERIOD_MILLIS = 400L

        /** Timeout of a call to a peer, in milliseconds; several round trips between regions. */
        private const val CALL_TIMEOUT_MILLIS = 400L
    }
}
