package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.ConnectionBudget
import buckthornbay.core.admission.EngineWork
import buckthornbay.core.admission.WorkspaceAccounts
import buckthornbay.core.admission.toTokens
import buckthornbay.core.admission.toWholeTokens
import buckthornbay.core.load.PaceNews
import buckthornbay.core.load.RateLimitNews
import buckthornbay.core.load.StartPace
import buckthornbay.core.membership.CollectionKnowledge
import buckthornbay.core.membership.HostReport
import buckthornbay.core.membership.Membership
import buckthornbay.core.membership.OutgoingHeartbeat
import buckthornbay.core.membership.StoreStatement
import buckthornbay.core.quarantine.QuarantineNews
import buckthornbay.protocol.Heartbeat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.MemberStatus
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WireJson
import buckthornbay.protocol.WorkspaceId
import buckthornbay.protocol.ZoneId
import buckthornbay.store.CollectionObject
import buckthornbay.store.HttpCall
import buckthornbay.store.HttpReply
import buckthornbay.store.HttpTransport
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration.Companion.milliseconds

/**
 * Gossip message that hosts exchange in every heartbeat period.
 *
 * Work is reported as cumulative totals, so that lost, duplicated and reordered messages do no harm.
 *
 * @property registryRevision revision of the sender's upstream registrations.
 * @property startedWork work that the sender has started since its process began, in tokens by workspace.
 * @property requestedWork work that callers have requested from the sender since its process began, in tokens by workspace.
 * @property waiting workspaces that have requests queued at the sender.
 * @property storeAgeMillis age of the sender's knowledge of the configuration, in milliseconds; only hosts before [store] was
 * added read it.
 * @property quarantine recent crashes of upstreams and the quarantined prompt parts, as far as the sender knows.
 * @property rateLimits request rate limits that upstreams state, as far as the sender knows.
 * @property store what the sender knows of the store, and as of when.
 * @property engineWork work that the sender has sent to engines, by service.
 * @property punctualDemand the part of [requestedWork] that could meet its objective when it was requested.
 * @property lateDemand the rest of [requestedWork].
 * @property paces recent changes of the paces of upstreams that have just started, as far as the sender knows.
 */
@Serializable
internal data class GossipMessage(
    @SerialName("h") val heartbeat: Heartbeat,
    @SerialName("r") val registryRevision: Long,
    @SerialName("b") val startedWork: Map<WorkspaceId, Long>,
    @SerialName("a") val requestedWork: Map<WorkspaceId, Long>,
    @SerialName("w") val waiting: Set<WorkspaceId>,
    @SerialName("s") val storeAgeMillis: Long,
    @SerialName("q") val quarantine: QuarantineNews = QuarantineNews(),
    @SerialName("l") val rateLimits: List<RateLimitNews> = emptyList(),
    @SerialName("k") val store: StoreStatement? = null,
    @SerialName("e") val engineWork: Map<ServiceId, EngineWork> = emptyMap(),
    @SerialName("p") val punctualDemand: Map<WorkspaceId, Long> = emptyMap(),
    @SerialName("d") val lateDemand: Map<WorkspaceId, Long> = emptyMap(),
    @SerialName("n") val paces: List<PaceNews> = emptyList(),
)

/** The state of this host that it exchanges with its peers. */
internal class SharedState(
    val accounts: WorkspaceAccounts,
    val crashWatch: CrashWatch,
    val rateLimits: RateLimitWatch,
    val startPace: StartPace,
    val connections: ConnectionBudget,
)

/** Store contents that are newer than those of the requesting peer; null where the peer is up to date. */
@Serializable
internal data class PeerSnapshot(
    @SerialName("c") val configuration: JsonElement?,
    @SerialName("u") val registrations: RegistrationChanges?,
    @SerialName("z") val evacuations: EvacuationsSnapshot? = null,
)

/** All evacuated availability zones as of [revision]. */
@Serializable
internal data class EvacuationsSnapshot(@SerialName("z") val zones: Set<ZoneId>, @SerialName("r") val revision: Long)

/** The versions of the store's collections that a host has. */
private data class StoreVersions(val configuration: Long, val registrations: Long, val evacuations: Long) {
    fun isBehind(other: StoreVersions): Boolean = configuration < other.configuration ||
        registrations < other.registrations ||
        evacuations < other.evacuations
}

/**
 * The gossip exchange with peers: membership, versions of configuration and registrations, workspace accounts,
 * quarantined prompt parts and request rate limits.
 *
 * A host that learns of a newer version from a peer fetches a snapshot from that peer.
 */
internal class PeerExchange(
    private val membership: Membership,
    private val shared: SharedState,
    private val fleetView: FleetView,
    private val transport: HttpTransport,
    private val log: DecisionLog,
    private val storeAccess: StoreAccess,
    private val accountsExchange: AccountsExchange,
    private val scope: CoroutineScope,
) {
    private val accounts: WorkspaceAccounts get() = shared.accounts
    private val clock: Clock get() = accounts.clock

    private var fetching = false
    private var knownMembers = emptySet<Member>()

    fun start() {
        accountsExchange.onStatement = ::receive
        accountsExchange.start()
        scope.launchLoop("gossip", log) {
            while (true) {
                tick()
                delay(TICK_MILLIS.milliseconds)
            }
        }
    }

    /** Announces to a few peers immediately that this host is leaving. */
    fun announceLeaving() {
        membership.leave()
        announce()
    }

    /** Handles a peer's request for [target] and returns the response. */
    fun answer(target: String, body: String): HttpReply = when (target.substringBefore('?')) {
        GOSSIP_PATH -> {
            val message = readPeerBody(GossipMessage.serializer(), body, log)
            if (message == null) HttpReply(BAD_REQUEST, "") else HttpReply(OK, receive(message))
        }
        SNAPSHOT_PATH -> HttpReply(OK, WireJson.encodeToString(PeerSnapshot.serializer(), snapshotFor(target)))
        AccountsExchange.PATH -> HttpReply(OK, accountsExchange.answer(body))
        else -> HttpReply(NOT_FOUND, "")
    }

    private fun tick() {
        membership.tick(clock.nowMillis(), report()).forEach(::send)
        handleMemberChanges()
    }

    private fun send(out: OutgoingHeartbeat) {
        scope.launch {
            val body = WireJson.encodeToString(GossipMessage.serializer(), messageWith(out.heartbeat))
            val reply = transport.call(out.url, HttpCall("POST", GOSSIP_PATH, body), CALL_TIMEOUT_MILLIS)
                .getOrElse { return@launch }
            if (reply.status != OK || reply.body.isEmpty()) return@launch
            readPeerBody(GossipMessage.serializer(), reply.body, log, out.url)?.let(::receive)
        }
    }

    /** Merges [message] and returns the response body, which is empty when there is nothing to reply. */
    private fun receive(message: GossipMessage): String {
        val nowMillis = clock.nowMillis()
        val sender = message.heartbeat.sender
        if (!accountsExchange.isNeeded) mergeAccounts(nowMillis, sender, message)
        message.store?.let { storeAccess.knowledge.receive(nowMillis, it) }
        shared.crashWatch.merge(message.quarantine)
        shared.rateLimits.merge(message.rateLimits)
        shared.startPace.merge(nowMillis, message.paces)
        val evacuationsRevision = message.store?.evacuations?.version ?: 0
        catchUp(sender.url, StoreVersions(message.heartbeat.stateVersion, message.registryRevision, evacuationsRevision))
        val reply = membership.receive(nowMillis, message.heartbeat, report()) ?: return ""
        return WireJson.encodeToString(GossipMessage.serializer(), messageWith(reply.heartbeat, sender.host))
    }

    /** Merges a peer's [statement] and fetches what is newer there. */
    private fun receive(statement: StoreStatement) {
        storeAccess.knowledge.receive(clock.nowMillis(), statement)
        val sender = membership.find(statement.host) ?: return
        val versions = listOf(statement.configuration, statement.registrations, statement.evacuations).map { it?.version ?: 0 }
        catchUp(sender.url, StoreVersions(versions[0], versions[1], versions[2]))
    }

    private fun mergeAccounts(nowMillis: Long, sender: Member, message: GossipMessage) {
        accounts.startedWork.receive(nowMillis, sender.host, sender.incarnation, message.startedWork.toTokens())
        accounts.requestedWork.receive(nowMillis, sender.host, sender.incarnation, message.requestedWork.toTokens())
        accounts.demand.punctual.receive(nowMillis, sender.host, sender.incarnation, message.punctualDemand.toTokens())
        accounts.demand.late.receive(nowMillis, sender.host, sender.incarnation, message.lateDemand.toTokens())
        accounts.engineWork.putSnapshot(nowMillis, sender.host.value, message.engineWork)
        accounts.backlog.receive(nowMillis, sender.host, message.waiting)
    }

    private fun ownVersions() =
        StoreVersions(fleetView.configurationVersion, fleetView.registryRevision, fleetView.evacuationsRevision)

    /** Fetches what is newer at the peer at [url], which has [versions], unless the store watch delivers it first. */
    private fun catchUp(url: String, versions: StoreVersions) {
        val isBehind = { ownVersions().isBehind(versions) }
        if (fetching || !isBehind()) return
        fetching = true
        scope.launch {
            try {
                if (watchesStore()) delay(STORE_HEAD_START_MILLIS.milliseconds)
                if (isBehind()) fetch(url)
            } finally {
                fetching = false
            }
        }
    }

    private suspend fun fetch(url: String) {
        val target = ownVersions().run {
            "$SNAPSHOT_PATH?$VERSION_QUERY=$configuration&$REVISION_QUERY=$registrations&$EVACUATIONS_QUERY=$evacuations"
        }
        val reply = transport.call(url, HttpCall("GET", target), CALL_TIMEOUT_MILLIS).getOrElse { return }
        val snapshot = readPeerBody(PeerSnapshot.serializer(), reply.body, log, url) ?: return
        snapshot.configuration?.let { fleetView.offerConfiguration(it, url) }
        snapshot.registrations?.let { applyRegistrations(it, url) }
        snapshot.evacuations?.let { fleetView.replaceEvacuations(it.zones, it.revision, url) }
    }

    private fun applyRegistrations(changes: RegistrationChanges, url: String) {
        if (changes.revision <= fleetView.registryRevision) return
        if (changes.isFullList) {
            fleetView.replaceRegistrations(
                changes.put.map { (name, value) ->
                    CollectionObject(name, value)
                },
                changes.revision,
                url,
            )
        } else {
            fleetView.applyRegistrations(changes.toChanges(), changes.revision)
        }
    }

    private fun snapshotFor(target: String): PeerSnapshot {
        val query = queryParameters(target)
        val version = query(VERSION_QUERY)?.toLongOrNull() ?: 0
        val revision = query(REVISION_QUERY)?.toLongOrNull() ?: 0
        val evacuationsRevision = query(EVACUATIONS_QUERY)?.toLongOrNull() ?: 0
        return PeerSnapshot(
            fleetView.configuration.takeIf { fleetView.configurationVersion > version },
            if (fleetView.registryRevision > revision) fleetView.registrationsSince(revision) else null,
            fleetView.run { EvacuationsSnapshot(evacuatedZones.toSet(), this.evacuationsRevision) }
                .takeIf { it.revision > evacuationsRevision },
        )
    }

    /** Returns whether this host currently watches the store itself. */
    fun watchesStore(): Boolean = storeAccess.isWatcher()

    /** Passes on that this host has read the store. */
    fun passOnStatement() = accountsExchange.exchangeAll()

    /** Sends this host's state to a few peers immediately, without waiting for the next heartbeat. */
    fun announce() {
        membership.announce(report()).forEach(::send)
    }

    private fun messageWith(heartbeat: Heartbeat, recipient: HostId? = null) = GossipMessage(
        heartbeat,
        fleetView.registryRevision,
        if (accountsExchange.isNeeded) emptyMap() else accounts.startedWork.totals().toWholeTokens(),
        if (accountsExchange.isNeeded) emptyMap() else accounts.requestedWork.totals().toWholeTokens(),
        if (accountsExchange.isNeeded) emptySet() else accounts.waiting(),
        storeAccess.knowledge.configuration.ageMillis(clock.nowMillis()).coerceAtMost(CollectionKnowledge.MAX_AGE_MILLIS),
        shared.crashWatch.news(),
        shared.rateLimits.news(),
        storeAccess.knowledge.statementFor(clock.nowMillis(), recipient),
        if (accountsExchange.isNeeded) emptyMap() else accounts.engineWork.sumOf(clock.nowMillis(), withOwn = true) { false },
        if (accountsExchange.isNeeded) emptyMap() else accounts.demand.punctual.totals().toWholeTokens(),
        if (accountsExchange.isNeeded) emptyMap() else accounts.demand.late.totals().toWholeTokens(),
        if (accountsExchange.isNeeded) emptyList() else shared.startPace.news(clock.nowMillis()),
    )

    private fun report() = HostReport(fleetView.configurationVersion, shared.connections.loadPermille)

    private fun handleMemberChanges() {
        val members = membership.all().toSet()
        if (members == knownMembers) return
        for (member in members - knownMembers) {
            log.stateChange("event=member host=${member.host} status=${member.status} incarnation=${member.incarnation}")
            if (member.status == MemberStatus.DEAD) forget(member.host)
        }
        knownMembers = members
    }

    private fun forget(host: HostId) {
        storeAccess.knowledge.forget(host)
        accounts.startedWork.forget(host)
        accounts.requestedWork.forget(host)
        accounts.demand.punctual.forget(host)
        accounts.demand.late.forget(host)
    }

    private companion object {
        const val GOSSIP_PATH = "/v1/peers/news"
        const val SNAPSHOT_PATH = "/v1/peers/snapshot"
        const val VERSION_QUERY = "configuration"
        const val REVISION_QUERY = "registrations"
        const val EVACUATIONS_QUERY = "evacuations"
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404

        /** Period of [tick], in milliseconds; a third of the heartbeat period. */
        const val TICK_MILLIS = 50L

        /** Timeout of a call to a peer, in milliseconds; several round trips between regions. */
        const val CALL_TIMEOUT_MILLIS = 400L

        /** Time for the store watch, which is usually faster, to deliver a change before a peer is asked, in milliseconds. */
        const val STORE_HEAD_START_MILLIS = 100L
    }
}
