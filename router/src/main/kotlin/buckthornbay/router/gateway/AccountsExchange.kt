package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.membership.Membership
import buckthornbay.core.membership.rendezvousOrder
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.WireJson
import buckthornbay.protocol.WorkspaceId
import buckthornbay.protocol.ZoneId
import buckthornbay.store.HttpCall
import buckthornbay.store.HttpTransport
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlin.time.Duration.Companion.milliseconds

/**
 * Work and backlog by workspace at one source, which is a host or an availability zone.
 *
 * @property source host id, or the name of a zone sum.
 * @property startedWork recently started work, in tokens by workspace.
 * @property requestedWork recently requested work, in tokens by workspace.
 * @property waiting workspaces that have requests queued there.
 */
@Serializable
internal data class SourceAccounts(
    @SerialName("s") val source: String,
    @SerialName("z") val zone: ZoneId,
    @SerialName("b") val startedWork: Map<WorkspaceId, Long>,
    @SerialName("a") val requestedWork: Map<WorkspaceId, Long>,
    @SerialName("w") val waiting: Set<WorkspaceId>,
)

/**
 * The exchange of workspace accounts in fleets that are too large for every pair of hosts to exchange heartbeats within a second.
 *
 * Rendezvous hashing selects one aggregator host in each availability zone. The other hosts of the zone send it their accounts
 * and receive those of the rest of the fleet. Aggregators exchange the zone sums with each other. Values are absolute and each
 * replaces the previous one, so that lost or duplicated messages and a change of the aggregator do no harm.
 */
internal class AccountsExchange(
    private val membership: Membership,
    private val accounts: WorkspaceAccounts,
    private val transport: HttpTransport,
    private val log: DecisionLog,
) {
    private val clock: Clock get() = accounts.clock
    private val self get() = membership.selfMember

    /** Whether the fleet is too large for the accounts to be carried in heartbeats. */
    val isNeeded: Boolean get() = membership.live().size > MAX_PAIRWISE_HOSTS

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                if (isNeeded) targets().forEach { target -> scope.launch { exchange(target) } }
                delay(PERIOD_MILLIS.milliseconds)
            }
        }
    }

    /** Merges the accounts in a peer's request [body] and returns the response body with the accounts that the peer needs. */
    fun answer(body: String): String {
        val received = readPeerBody(FORMAT, body, log).orEmpty()
        received.forEach(::merge)
        val sender = received.firstOrNull() ?: return encode(emptyList())
        return encode(if (sender.zone == self.zone) restOfFleetFor(sender.source) else listOf(zoneSum(except = null)))
    }

    private fun targets(): List<Member> {
        val byZone = membership.live().groupBy { it.zone }
        if (aggregatorOf(byZone.getValue(self.zone)).host != self.host) return listOf(aggregatorOf(byZone.getValue(self.zone)))
        return byZone.filterKeys { it != self.zone }.values.map(::aggregatorOf)
    }

    private fun aggregatorOf(members: List<Member>): Member {
        val first = rendezvousOrder(AGGREGATOR_KEY, members.map { it.host }).first()
        return members.first { it.host == first }
    }

    private suspend fun exchange(target: Member) {
        val accountsToSend = if (target.zone == self.zone) ownAccounts() else zoneSum(except = null)
        val call = HttpCall("POST", PATH, encode(listOf(accountsToSend)))
        val reply = transport.call(target.url, call, CALL_TIMEOUT_MILLIS).getOrElse { return }
        readPeerBody(FORMAT, reply.body, log, target.url).orEmpty().forEach(::merge)
    }

    private fun merge(received: SourceAccounts) {
        val nowMillis = clock.nowMillis()
        accounts.startedWork.putSnapshot(nowMillis, received.source, received.startedWork.toTokens())
        accounts.requestedWork.putSnapshot(nowMillis, received.source, received.requestedWork.toTokens())
        accounts.backlog.receive(nowMillis, HostId(received.source), received.waiting)
    }

    private fun ownAccounts() = sum(self.host.value) { false }

    /** Returns the sum over the hosts of this zone; leaves out [except], if not null, because that host adds its own accounts. */
    private fun zoneSum(except: String?): SourceAccounts {
        val name = if (except == null) "$ZONE_PREFIX${self.zone}" else "$ZONE_PREFIX${self.zone}$OTHERS_SUFFIX"
        return sum(name) { source -> !source.startsWith(ZONE_PREFIX) && source != except }
    }

    private fun restOfFleetFor(host: String): List<SourceAccounts> {
        val zones = membership.live().map { it.zone }.toSet() - self.zone
        return listOf(zoneSum(except = host)) + zones.map { zone -> receivedFrom("$ZONE_PREFIX$zone", zone) }
    }

    private fun receivedFrom(source: String, zone: ZoneId): SourceAccounts {
        val nowMillis = clock.nowMillis()
        return SourceAccounts(
            source,
            zone,
            accounts.startedWork.snapshotOf(nowMillis, source).toWholeTokens(),
            accounts.requestedWork.snapshotOf(nowMillis, source).toWholeTokens(),
            accounts.backlog.waitingAt(nowMillis, HostId(source)),
        )
    }

    private fun sum(name: String, include: (String) -> Boolean): SourceAccounts {
        val nowMillis = clock.nowMillis()
        return SourceAccounts(
            name,
            self.zone,
            accounts.startedWork.recentOf(nowMillis, include).toWholeTokens(),
            accounts.requestedWork.recentOf(nowMillis, include).toWholeTokens(),
            accounts.waiting(BACKLOG_WAIT_MILLIS) + accounts.backlog.waitingWhere(nowMillis) { include(it.value) },
        )
    }

    private fun encode(entries: List<SourceAccounts>): String = WireJson.encodeToString(FORMAT, entries)

    companion object {
        const val PATH = "/v1/peers/accounts"

        private val FORMAT = ListSerializer(SourceAccounts.serializer())

        /** Largest fleet, in hosts, in which pairwise heartbeats spread the accounts within about a second. */
        private const val MAX_PAIRWISE_HOSTS = 12
        private const val AGGREGATOR_KEY = "accounts"
        private const val ZONE_PREFIX = "zone:"
        private const val OTHERS_SUFFIX = ":others"

        /**
         * Queueing time from which a workspace counts as backlogged, in milliseconds; in a large fleet nearly every workspace has
         * some request that is queued for a moment.
         */
        private const val BACKLOG_WAIT_MILLIS = 200L

        /** Period of the exchange, in milliseconds; a host's accounts reach all other hosts after three exchanges. */
        private const val PERIOD_MILLIS = 400L

        /** Timeout of a call to a peer, in milliseconds; several round trips between regions. */
        private const val CALL_TIMEOUT_MILLIS = 400L
    }
}
