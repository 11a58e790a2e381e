package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.AccountsAggregation
import buckthornbay.core.admission.SourceAccounts
import buckthornbay.core.load.StartPace
import buckthornbay.core.membership.Membership
import buckthornbay.core.membership.StoreKnowledge
import buckthornbay.core.membership.StoreStatement
import buckthornbay.protocol.HostId
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

/**
 * The messages of the [aggregation] of workspace accounts in fleets that are too large for heartbeats to carry the accounts.
 *
 * They also carry what hosts know of the store. A host that has read the store, and the aggregator of its zone, pass this on
 * at once rather than in the next period, so that few hosts have to call the store.
 */
internal class AccountsExchange(
    private val membership: Membership,
    private val aggregation: AccountsAggregation,
    private val storeKnowledge: StoreKnowledge,
    private val startPace: StartPace,
    private val transport: HttpTransport,
    private val clock: Clock,
    private val log: DecisionLog,
    private val scope: CoroutineScope,
) {
    /** Called with what a peer states about the store. */
    var onStatement: (StoreStatement) -> Unit = {}

    /** Whether the fleet is too large for the accounts to be carried in heartbeats. */
    val isNeeded: Boolean get() = membership.live().size > MAX_PAIRWISE_HOSTS

    fun start() {
        scope.launchLoop("exchange of accounts", log) {
            while (true) {
                exchangeAll()
                delay(PERIOD_MILLIS.milliseconds)
            }
        }
    }

    /** Exchanges accounts and statements about the store with all hosts that this host exchanges them with. */
    fun exchangeAll() {
        if (isNeeded) aggregation.targets().forEach { target -> scope.launch { exchange(target) } }
    }

    /** Merges the accounts in a peer's request [body] and returns the response body with the accounts that the peer needs. */
    fun answer(body: String): String {
        val received = readPeerBody(FORMAT, body, log).orEmpty()
        val confirmedAtMillis = storeKnowledge.confirmedAtMillis
        received.forEach(::merge)
        val isYounger = storeKnowledge.confirmedAtMillis != confirmedAtMillis
        if (isYounger && received.first().zone == membership.selfMember.zone) exchangeAll()
        val sender = received.firstNotNullOfOrNull { it.store }?.host
        return encode(received.firstOrNull()?.let(aggregation::answerTo).orEmpty(), sender)
    }

    private suspend fun exchange(target: Member) {
        val call = HttpCall("POST", PATH, encode(listOf(aggregation.accountsFor(target)), target.host))
        val reply = transport.call(target.url, call, CALL_TIMEOUT_MILLIS).getOrElse { return }
        readPeerBody(FORMAT, reply.body, log, target.url).orEmpty().forEach(::merge)
    }

    private fun merge(received: SourceAccounts) {
        aggregation.merge(received)
        received.store?.let(onStatement)
        startPace.merge(clock.nowMillis(), received.paces)
    }

    /** Encodes [entries] for [recipient], the first one with the statement about the store and the paces of upstreams. */
    private fun encode(entries: List<SourceAccounts>, recipient: HostId?): String {
        val nowMillis = clock.nowMillis()
        val statement = storeKnowledge.statementFor(nowMillis, recipient)
        val paces = startPace.news(nowMillis)
        val stated = entries.mapIndexed { index, entry ->
            if (index == 0) entry.copy(store = statement, paces = paces) else entry
        }
        return WireJson.encodeToString(FORMAT, stated)
    }

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
