package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.admission.FleetAccounts
import buckthornbay.core.admission.FleetBacklog
import buckthornbay.core.membership.HeartbeatOut
import buckthornbay.core.membership.HostReport
import buckthornbay.core.membership.Membership
import buckthornbay.core.membership.WatchDuty
import buckthornbay.protocol.Heartbeat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.MemberStatus
import buckthornbay.protocol.WireJson
import buckthornbay.protocol.WorkspaceId
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
import kotlin.math.roundToLong
import kotlin.time.Duration.Companion.milliseconds

/**
 * What hosts tell each other in every period.
 *
 * @property registryRevision revision of the sender's registrations.
 * @property begun work that the sender began since its start, in tokens by workspace.
 * @property asked work that the sender was asked for since its start, in tokens by workspace.
 * @property waiting workspaces of which something waits at the sender.
 * @property storeAgeMillis how long ago any host that the sender has news of heard from the store, in milliseconds.
 */
@Serializable
internal data class PeerNews(
    @SerialName("h") val heartbeat: Heartbeat,
    @SerialName("r") val registryRevision: Long,
    @SerialName("b") val begun: Map<WorkspaceId, Long>,
    @SerialName("a") val asked: Map<WorkspaceId, Long>,
    @SerialName("w") val waiting: Set<WorkspaceId>,
    @SerialName("s") val storeAgeMillis: Long,
)

/** Work by workspace on all hosts: what was begun, what was asked for, and who waits. */
internal class WorkspaceAccounts(
    val begun: FleetAccounts,
    val asked: FleetAccounts,
    val backlog: FleetBacklog,
    val clock: Clock,
    private val waitingFor: (Long) -> Set<WorkspaceId>,
) {
    /** Returns the workspaces of which something has waited here for [millis] or longer. */
    fun waiting(millis: Long = 0): Set<WorkspaceId> = waitingFor(millis)
}

/** Returns the tokens as whole numbers, as they are told to peers. */
internal fun Map<WorkspaceId, Double>.rounded(): Map<WorkspaceId, Long> = mapValues { it.value.roundToLong() }

/** Returns the tokens that a peer told. */
internal fun Map<WorkspaceId, Long>.toTokens(): Map<WorkspaceId, Double> = mapValues { it.value.toDouble() }

/** What a host knows from the store and the peer that asks does not. */
@Serializable
internal data class PeerSnapshot(
    @SerialName("c") val configuration: JsonElement?,
    @SerialName("u") val registrations: RegistrationChanges?,
)

/** Exchanges news with peers: who is alive, how far each is with configuration and registrations, and what was served. */
internal class PeerExchange(
    private val membership: Membership,
    private val accounts: WorkspaceAccounts,
    private val knowledge: FleetKnowledge,
    private val transport: HttpTransport,
    private val log: DecisionLog,
    private val duty: WatchDuty,
    private val accountsExchange: AccountsExchange,
    private val scope: CoroutineScope,
) {
    private val clock: Clock get() = accounts.clock

    private var fetching = false
    private var membersSeen = emptySet<Member>()

    fun start() {
        accountsExchange.start(scope)
        scope.launch {
            while (true) {
                tick()
                delay(TICK_MILLIS.milliseconds)
            }
        }
    }

    /** Tells a few peers at once that this host leaves. */
    fun announceLeaving() {
        membership.leave()
        announce()
    }

    /** Answers what a peer sent to [target]. */
    fun answer(target: String, body: String): HttpReply = when (target.substringBefore('?')) {
        NEWS -> {
            val news = readPeerBody(PeerNews.serializer(), body, log)
            if (news == null) HttpReply(BAD_REQUEST, "") else HttpReply(OK, receive(news))
        }
        SNAPSHOT -> HttpReply(OK, WireJson.encodeToString(PeerSnapshot.serializer(), snapshotFor(target)))
        AccountsExchange.PATH -> HttpReply(OK, accountsExchange.answer(body))
        else -> HttpReply(NOT_FOUND, "")
    }

    private fun tick() {
        membership.tick(clock.nowMillis(), report()).forEach(::send)
        noteMembers()
    }

    private fun send(out: HeartbeatOut) {
        scope.launch {
            val body = WireJson.encodeToString(PeerNews.serializer(), news(out.heartbeat))
            val reply = transport.call(out.url, HttpCall("POST", NEWS, body), CALL_TIMEOUT_MILLIS).getOrElse { return@launch }
            if (reply.status != OK || reply.body.isEmpty()) return@launch
            readPeerBody(PeerNews.serializer(), reply.body, log, out.url)?.let(::receive)
        }
    }

    /** Takes in [news] and returns the body of the answer. */
    private fun receive(news: PeerNews): String {
        val nowMillis = clock.nowMillis()
        val sender = news.heartbeat.sender
        if (!accountsExchange.isNeeded) takeInAccounts(nowMillis, sender, news)
        duty.learned(nowMillis, news.storeAgeMillis)
        catchUp(sender.url, news)
        val reply = membership.receive(nowMillis, news.heartbeat, report()) ?: return ""
        return WireJson.encodeToString(PeerNews.serializer(), news(reply.heartbeat))
    }

    private fun takeInAccounts(nowMillis: Long, sender: Member, news: PeerNews) {
        accounts.begun.receive(nowMillis, sender.host, sender.incarnation, news.begun.toTokens())
        accounts.asked.receive(nowMillis, sender.host, sender.incarnation, news.asked.toTokens())
        accounts.backlog.receive(nowMillis, sender.host, news.waiting)
    }

    /** Fetches what [url] knows where it is ahead; the store's own watch is usually faster. */
    private fun catchUp(url: String, news: PeerNews) {
        val newerConfiguration = news.heartbeat.stateVersion > knowledge.configurationVersion
        val newerRegistrations = news.registryRevision > knowledge.registryRevision
        if (fetching || (!newerConfiguration && !newerRegistrations)) return
        fetching = true
        scope.launch {
            if (watches()) delay(STORE_HEAD_START_MILLIS.milliseconds)
            val behind = news.heartbeat.stateVersion > knowledge.configurationVersion ||
                news.registryRevision > knowledge.registryRevision
            if (behind) fetch(url)
            fetching = false
        }
    }

    private suspend fun fetch(url: String) {
        val target = "$SNAPSHOT?$VERSION=${knowledge.configurationVersion}&$REVISION=${knowledge.registryRevision}"
        val reply = transport.call(url, HttpCall("GET", target), CALL_TIMEOUT_MILLIS).getOrElse { return }
        val snapshot = readPeerBody(PeerSnapshot.serializer(), reply.body, log, url) ?: return
        snapshot.configuration?.let { knowledge.offerConfiguration(it, url) }
        snapshot.registrations?.let { takeIn(it, url) }
    }

    private fun takeIn(changes: RegistrationChanges, url: String) {
        if (changes.revision <= knowledge.registryRevision) return
        if (changes.whole) {
            knowledge.replaceRegistrations(
                changes.put.map { (name, value) ->
                    CollectionObject(name, value)
                },
                changes.revision,
                url,
            )
        } else {
            knowledge.applyRegistrations(changes.asChanges(), changes.revision)
        }
    }

    private fun snapshotFor(target: String): PeerSnapshot {
        val query = queryParameters(target)
        val version = query(VERSION)?.toLongOrNull() ?: 0
        val revision = query(REVISION)?.toLongOrNull() ?: 0
        return PeerSnapshot(
            knowledge.configuration.takeIf { knowledge.configurationVersion > version },
            if (knowledge.registryRevision > revision) knowledge.registrationsSince(revision) else null,
        )
    }

    /** Whether this host watches the store itself now. */
    fun watches(): Boolean = duty.shouldWatch(clock.nowMillis(), membership.live().map { it.host })

    /** Tells a few peers at once that this host knows something new. */
    fun announce() {
        membership.announce(report()).forEach(::send)
    }

    private fun news(heartbeat: Heartbeat) = PeerNews(
        heartbeat,
        knowledge.registryRevision,
        if (accountsExchange.isNeeded) emptyMap() else accounts.begun.totals().rounded(),
        if (accountsExchange.isNeeded) emptyMap() else accounts.asked.totals().rounded(),
        if (accountsExchange.isNeeded) emptySet() else accounts.waiting(),
        duty.ageMillis(clock.nowMillis()),
    )

    private fun report() = HostReport(knowledge.configurationVersion, loadPermille = 0)

    private fun noteMembers() {
        val members = membership.all().toSet()
        if (members == membersSeen) return
        for (member in members - membersSeen) {
            log.stateChange("event=member host=${member.host} status=${member.status} incarnation=${member.incarnation}")
            if (member.status == MemberStatus.DEAD) forgetAccounts(member.host)
        }
        membersSeen = members
    }

    private fun forgetAccounts(host: HostId) {
        accounts.begun.forget(host)
        accounts.asked.forget(host)
    }

    private companion object {
        const val NEWS = "/v1/peers/news"
        const val SNAPSHOT = "/v1/peers/snapshot"
        const val VERSION = "configuration"
        const val REVISION = "registrations"
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404

        /** How often the membership is asked what is due, in milliseconds; a third of the period between heartbeats. */
        const val TICK_MILLIS = 50L

        /** Time for a peer's answer, in milliseconds; some round trips between regions. */
        const val CALL_TIMEOUT_MILLIS = 400L

        /** How long the store's watch has to bring what a peer already knows, in milliseconds. */
        const val STORE_HEAD_START_MILLIS = 100L
    }
}
