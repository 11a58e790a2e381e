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
 * Recent work at one source, a host or an availability zone, in tokens by workspace.
 *
 * @property waiting workspaces of which something waits there.
 */
@Serializable
internal data class SourceAccounts(
    @SerialName("s") val source: String,
    @SerialName("z") val zone: ZoneId,
    @SerialName("b") val begun: Map<WorkspaceId, Long>,
    @SerialName("a") val asked: Map<WorkspaceId, Long>,
    @SerialName("w") val waiting: Set<WorkspaceId>,
)

/**
 * Exchanges workspaces' accounts in a fleet too large for every pair of hosts to meet within a second.
 *
 * Each availability zone has one host, by rendezvous hashing, that adds up the zone's accounts and exchanges the sums with the
 * other zones' hosts; the others send it theirs and get the rest of the fleet's. Figures are absolute and replace each other, so
 * that lost and doubled messages and a change of that host do no harm.
 */
internal class AccountsExchange(
    private val membership: Membership,
    private val accounts: WorkspaceAccounts,
    private val transport: HttpTransport,
    private val log: DecisionLog,
) {
    private val clock: Clock get() = accounts.clock
    private val self get() = membership.selfMember

    /** Whether the fleet is so large that heartbeats don't carry the accounts. */
    val isNeeded: Boolean get() = membership.live().size > SMALL_FLEET

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                if (isNeeded) targets().forEach { target -> scope.launch { exchange(target) } }
                delay(PERIOD_MILLIS.milliseconds)
            }
        }
    }

    /** Answers what a peer told of its accounts. */
    fun answer(body: String): String {
        val told = readPeerBody(FORMAT, body, log).orEmpty()
        told.forEach(::takeIn)
        val asker = told.firstOrNull() ?: return encode(emptyList())
        return encode(if (asker.zone == self.zone) restOfFleetFor(asker.source) else listOf(zoneSum(except = null)))
    }

    private fun targets(): List<Member> {
        val byZone = membership.live().groupBy { it.zone }
        if (adderOf(byZone.getValue(self.zone)).host != self.host) return listOf(adderOf(byZone.getValue(self.zone)))
        return byZone.filterKeys { it != self.zone }.values.map(::adderOf)
    }

    private fun adderOf(members: List<Member>): Member {
        val first = rendezvousOrder(DUTY, members.map { it.host }).first()
        return members.first { it.host == first }
    }

    private suspend fun exchange(target: Member) {
        val told = if (target.zone == self.zone) ownAccounts() else zoneSum(except = null)
        val call = HttpCall("POST", PATH, encode(listOf(told)))
        val reply = transport.call(target.url, call, CALL_TIMEOUT_MILLIS).getOrElse { return }
        readPeerBody(FORMAT, reply.body, log, target.url).orEmpty().forEach(::takeIn)
    }

    private fun takeIn(told: SourceAccounts) {
        val nowMillis = clock.nowMillis()
        accounts.begun.putSnapshot(nowMillis, told.source, told.begun.toTokens())
        accounts.asked.putSnapshot(nowMillis, told.source, told.asked.toTokens())
        accounts.backlog.receive(nowMillis, HostId(told.source), told.waiting)
    }

    private fun ownAccounts() = sum(self.host.value) { false }

    /** Adds up the zone's hosts; [except] is left out because it adds its own. */
    private fun zoneSum(except: String?): SourceAccounts {
        val name = if (except == null) "$ZONE${self.zone}" else "$ZONE${self.zone}$OTHERS"
        return sum(name) { source -> !source.startsWith(ZONE) && source != except }
    }

    private fun restOfFleetFor(host: String): List<SourceAccounts> {
        val zones = membership.live().map { it.zone }.toSet() - self.zone
        return listOf(zoneSum(except = host)) + zones.map { zone -> snapshotOf("$ZONE$zone", zone) }
    }

    private fun snapshotOf(source: String, zone: ZoneId): SourceAccounts {
        val nowMillis = clock.nowMillis()
        return SourceAccounts(
            source,
            zone,
            accounts.begun.snapshotOf(nowMillis, source).rounded(),
            accounts.asked.snapshotOf(nowMillis, source).rounded(),
            accounts.backlog.waitingAt(nowMillis, HostId(source)),
        )
    }

    private fun sum(name: String, include: (String) -> Boolean): SourceAccounts {
        val nowMillis = clock.nowMillis()
        return SourceAccounts(
            name,
            self.zone,
            accounts.begun.recentOf(nowMillis, include).rounded(),
            accounts.asked.recentOf(nowMillis, include).rounded(),
            accounts.waiting(HELD_BACK_MILLIS) + accounts.backlog.waitingWhere(nowMillis) { include(it.value) },
        )
    }

    private fun encode(told: List<SourceAccounts>): String = WireJson.encodeToString(FORMAT, told)

    companion object {
        const val PATH = "/v1/peers/accounts"

        private val FORMAT = ListSerializer(SourceAccounts.serializer())

        /** Hosts up to which heartbeats between all pairs carry the accounts within about a second. */
        private const val SMALL_FLEET = 12
        private const val DUTY = "accounts"
        private const val ZONE = "zone:"
        private const val OTHERS = ":others"

        /**
         * Wait that tells that a workspace is held back, in milliseconds; in a large fleet some request of nearly every workspace
         * waits for a moment somewhere.
         */
        private const val HELD_BACK_MILLIS = 200L

        /** Time between two exchanges, in milliseconds; three of them bring a host's accounts to all others. */
        private const val PERIOD_MILLIS = 400L

        /** Time for a peer's answer, in milliseconds; some round trips between regions. */
        private const val CALL_TIMEOUT_MILLIS = 400L
    }
}
