package buckthornbay.core.admission

import buckthornbay.core.Clock
import buckthornbay.core.load.EngineOccupancy
import buckthornbay.core.load.PaceNews
import buckthornbay.core.load.RequestCounts
import buckthornbay.core.membership.HostLoads
import buckthornbay.core.membership.StoreStatement
import buckthornbay.core.membership.rendezvousOrder
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId
import buckthornbay.protocol.ZoneId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.roundToLong

/** The accounts of the workspaces at this host, merged with those that other hosts report. */
public class WorkspaceAccounts(
    public val startedWork: FleetAccounts,
    public val requestedWork: FleetAccounts,
    public val backlog: FleetBacklog,
    public val clock: Clock,
    public val engineWork: EngineWorkAccounts = EngineWorkAccounts(),
    public val occupancy: EngineOccupancy = EngineOccupancy { emptyMap() },
    private val waitingFor: (Long) -> Set<WorkspaceId>,
) {
    /** The demand of the workspaces, with the accounts of requested and started work. */
    public val demand: WorkspaceDemand = WorkspaceDemand(requestedWork, startedWork)

    /** Returns the workspaces that have had a request queued on this host for at least [millis] milliseconds. */
    public fun waiting(millis: Long = 0): Set<WorkspaceId> = waitingFor(millis)
}

/** Rounds the tokens to whole numbers, the form that is sent to peers. */
public fun Map<WorkspaceId, Double>.toWholeTokens(): Map<WorkspaceId, Long> = mapValues { it.value.roundToLong() }

/** Converts the whole tokens that a peer sent. */
public fun Map<WorkspaceId, Long>.toTokens(): Map<WorkspaceId, Double> = mapValues { it.value.toDouble() }

/**
 * Work and backlog by workspace at one source, which is a host or an availability zone.
 *
 * @property source host id, or the name of a zone sum.
 * @property startedWork recently started work, in tokens by workspace.
 * @property requestedWork recently requested work, in tokens by workspace.
 * @property waiting workspaces that have requests queued there.
 * @property store what the sender knows of the store; carried by one entry of each message.
 * @property engineWork work that was sent to engines from there, by service.
 * @property punctualDemand work requested at present by requests that can meet their objective, in tokens by workspace.
 * @property lateDemand the same for requests that have missed it.
 * @property paces recent changes of the paces of upstreams that have just started, as known to the sender; carried by one entry
 * of each message.
 * @property hostLoads loads of hosts of the zone, in thousandths; only within a zone, and only where notable.
 * @property inProgress requests in progress at the engines; one of the entries that an aggregator sends within its zone has
 * those of all hosts but the receiver.
 */
@Serializable
public data class SourceAccounts(
    @SerialName("s") public val source: String,
    @SerialName("z") public val zone: ZoneId,
    @SerialName("b") public val startedWork: Map<WorkspaceId, Long>,
    @SerialName("a") public val requestedWork: Map<WorkspaceId, Long>,
    @SerialName("w") public val waiting: Set<WorkspaceId>,
    @SerialName("k") public val store: StoreStatement? = null,
    @SerialName("e") public val engineWork: Map<ServiceId, EngineWork> = emptyMap(),
    @SerialName("p") public val punctualDemand: Map<WorkspaceId, Long> = emptyMap(),
    @SerialName("l") public val lateDemand: Map<WorkspaceId, Long> = emptyMap(),
    @SerialName("h") public val hostLoads: Map<HostId, Int> = emptyMap(),
    @SerialName("n") public val paces: List<PaceNews> = emptyList(),
    @SerialName("o") public val inProgress: RequestCounts = RequestCounts.NONE,
)

/**
 * The aggregation of workspace accounts in fleets that are too large for every pair of hosts to exchange heartbeats within a
 * second.
 *
 * Rendezvous hashing selects one aggregator host in each availability zone. The other hosts of the zone send it their accounts
 * and receive those of the rest of the fleet. Aggregators exchange the zone sums with each other. Values are absolute and each
 * replaces the previous one, so that lost or duplicated messages and a change of the aggregator do no harm.
 *
 * @param self this host.
 * @param hostLoads loads of the hosts of this zone.
 * @param ownLoadPermille returns the load of this host, in thousandths.
 * @param liveMembers live hosts of the fleet, with this one.
 */
public class AccountsAggregation(
    private val self: Member,
    private val accounts: WorkspaceAccounts,
    private val hostLoads: HostLoads = HostLoads(),
    private val ownLoadPermille: () -> Int = { 0 },
    private val liveMembers: () -> List<Member>,
) {
    private val clock: Clock get() = accounts.clock

    /** Returns the hosts that this host exchanges accounts with: the aggregator of its zone, or those of the other zones. */
    public fun targets(): List<Member> {
        val byZone = liveMembers().groupBy { it.zone }
        val own = aggregatorOf(byZone.getValue(self.zone))
        if (own.host != self.host) return listOf(own)
        return byZone.filterKeys { it != self.zone }.values.map(::aggregatorOf)
    }

    /** Returns the accounts to send to [target]. */
    public fun accountsFor(target: Member): SourceAccounts {
        if (target.zone != self.zone) return zoneSum()
        return sum(self.host.value) { false }
            .copy(hostLoads = mapOf(self.host to ownLoadPermille()), inProgress = inProgressAt { false })
    }

    /** Returns the accounts to answer to the source of [received]. */
    public fun answerTo(received: SourceAccounts): List<SourceAccounts> =
        if (received.zone == self.zone) restOfFleetFor(received.source) else listOf(zoneSum())

    private fun aggregatorOf(members: List<Member>): Member {
        val first = rendezvousOrder(AGGREGATOR_KEY, members.map { it.host }).first()
        return members.first { it.host == first }
    }

    /** Replaces what was known of the source of [received]. */
    public fun merge(received: SourceAccounts) {
        val nowMillis = clock.nowMillis()
        received.hostLoads.forEach { (host, permille) -> if (host != self.host) hostLoads.record(nowMillis, host, permille) }
        accounts.startedWork.putSnapshot(nowMillis, received.source, received.startedWork.toTokens())
        accounts.requestedWork.putSnapshot(nowMillis, received.source, received.requestedWork.toTokens())
        accounts.demand.punctual.putSnapshot(nowMillis, received.source, received.punctualDemand.toTokens())
        accounts.demand.late.putSnapshot(nowMillis, received.source, received.lateDemand.toTokens())
        accounts.engineWork.putSnapshot(nowMillis, received.source, received.engineWork)
        accounts.occupancy.putSnapshot(nowMillis, received.source, received.inProgress)
        accounts.backlog.receive(nowMillis, HostId(received.source), received.waiting)
    }

    private fun zoneSum(): SourceAccounts =
        sum(HostGroup.all(self.zone), include = ::isHost).copy(inProgress = inProgressAt(::isHost))

    /** Returns the requests in progress on this host and at the sources that [include] accepts. */
    private fun inProgressAt(include: (String) -> Boolean): RequestCounts =
        accounts.occupancy.sumOf(clock.nowMillis(), withOwn = true, include)

    private fun isHost(source: String): Boolean = HostGroup.zoneOf(source) == null

    /** Returns the accounts of all hosts but [host], which adds its own; those of its zone by whether they come before it. */
    private fun restOfFleetFor(host: String): List<SourceAccounts> {
        val zones = liveMembers().map { it.zone }.toSet() - self.zone
        val before = sum(HostGroup.before(self.zone), withOwn = self.host.value < host) { isHost(it) && it < host }
        val after = sum(HostGroup.after(self.zone), withOwn = self.host.value > host) { isHost(it) && it > host }
        val loads = hostLoads.notable(clock.nowMillis()) + (self.host to ownLoadPermille())
        val zoneGroups = zones.map(HostGroup::all).toSet()
        val inProgress = inProgressAt { it in zoneGroups || (isHost(it) && it != host) }
        val ofZone = listOf(before.copy(hostLoads = loads, inProgress = inProgress), after)
        return ofZone + zones.map { zone -> receivedFrom(HostGroup.all(zone), zone) }
    }

    private fun receivedFrom(source: String, zone: ZoneId): SourceAccounts {
        val nowMillis = clock.nowMillis()
        return SourceAccounts(
            source,
            zone,
            accounts.startedWork.snapshotOf(nowMillis, source).toWholeTokens(),
            accounts.requestedWork.snapshotOf(nowMillis, source).toWholeTokens(),
            accounts.backlog.waitingAt(nowMillis, HostId(source)),
            engineWork = accounts.engineWork.sumOf(nowMillis, withOwn = false) { it == source },
            punctualDemand = accounts.demand.punctual.snapshotOf(nowMillis, source).toWholeTokens(),
            lateDemand = accounts.demand.late.snapshotOf(nowMillis, source).toWholeTokens(),
        )
    }

    /** Returns the sum over the sources that [include] accepts, and over this host if [withOwn]. */
    private fun sum(name: String, withOwn: Boolean = true, include: (String) -> Boolean): SourceAccounts {
        val nowMillis = clock.nowMillis()
        val ownWaiting = if (withOwn) accounts.waiting(BACKLOG_WAIT_MILLIS) else emptySet()
        return SourceAccounts(
            name,
            self.zone,
            accounts.startedWork.recentOf(nowMillis, withOwn, include).toWholeTokens(),
            accounts.requestedWork.recentOf(nowMillis, withOwn, include).toWholeTokens(),
            ownWaiting + accounts.backlog.waitingWhere(nowMillis) { include(it.value) },
            engineWork = accounts.engineWork.sumOf(nowMillis, withOwn, include),
            punctualDemand = accounts.demand.punctual.recentOf(nowMillis, withOwn, include).toWholeTokens(),
            lateDemand = accounts.demand.late.recentOf(nowMillis, withOwn, include).toWholeTokens(),
        )
    }

    private companion object {
        const val AGGREGATOR_KEY = "accounts"

        /**
         * Queueing time from which a workspace counts as backlogged, in milliseconds; in a large fleet nearly every workspace has
         * some request that is queued for a moment.
         */
        const val BACKLOG_WAIT_MILLIS = 200L
    }
}
