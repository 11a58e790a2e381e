package buckthornbay.testkit.virtual

import buckthornbay.core.node.NodeEffect
import buckthornbay.core.node.NodeSettingsBuilder
import buckthornbay.core.node.RouterNode
import buckthornbay.core.node.buildNodeSettings
import buckthornbay.core.pool.AttemptOutcome
import buckthornbay.core.pool.HolderEffect
import buckthornbay.core.pool.PoolRequest
import buckthornbay.protocol.EnvelopeEncoder
import buckthornbay.protocol.Heartbeat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.PeerEnvelope
import buckthornbay.protocol.PeerMessage
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.RequestId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.VersionedState
import buckthornbay.protocol.WireJson
import buckthornbay.protocol.ZoneId

/** The decisions of buckthornbay's routers, connected by queues that delay, drop and cut. */
public class RouterScheduling(private val configure: NodeSettingsBuilder.() -> Unit = {}) : Scheduling {
    override val name: String = "buckthornbay"

    /** The hosts, by id. */
    public val hosts: MutableMap<HostId, VirtualHost> = LinkedHashMap()

    /** Whether messages from the first host to the second are lost. */
    public var isCut: (HostId, HostId) -> Boolean = { _, _ -> false }

    private lateinit var run: VirtualRun
    private val requests = HashMap<String, VirtualRequest>()
    private val holders = HashMap<String, HostId>()

    /** One router of a virtual run. */
    public class VirtualHost internal constructor(
        public val node: RouterNode,
        internal val incarnation: Long,
        internal val startMillis: Long,
    ) {
        /** Whether the process runs; a stopped one neither decides nor answers. */
        public var running: Boolean = true

        /** Until when the process is paused, in milliseconds; what reaches it meanwhile waits in its sockets. */
        public var pausedUntilMillis: Long = 0

        /** Control bytes and messages that it sent. */
        public var sentBytes: Long = 0
            internal set
        public var sentEnvelopes: Long = 0
            internal set
        internal var sequence = 0L
        internal val streams = HashMap<HostId, EnvelopeEncoder>()
    }

    override fun attach(run: VirtualRun) {
        this.run = run
        val regions = run.state.upstreams.map { it.region }.distinct()
        regions.forEach { region -> repeat(run.hostsPerRegion) { start(region, it, incarnation = 1) } }
        run.time.every(TICK_MILLIS) {
            hosts.keys.toList().forEach { tick(it) }
        }
    }

    private fun tick(id: HostId) {
        val host = hosts.getValue(id)
        if (host.running && host.pausedUntilMillis <= run.time.nowMillis) act(id, host.node.tick(run.time.nowMillis))
    }

    /** Runs [action] now, or when [host] goes on where it is paused. */
    private fun whenAwake(host: VirtualHost, action: () -> Unit) {
        val waitMillis = host.pausedUntilMillis - run.time.nowMillis
        if (waitMillis > 0) run.time.after(waitMillis) { whenAwake(host, action) } else action()
    }

    /** Starts the host [number] of [region] with nothing in memory, in place of one that ran there before. */
    public fun start(region: RegionId, number: Int, incarnation: Long) {
        val id = hostId(region, number)
        val member = Member(id, "http://$id", region, ZoneId("$region-a"), incarnation)
        val settings = buildNodeSettings(member) {
            seedUrls = hostUrls()
            seed = run.seed * SEED_FACTOR + hosts.size
            configure()
        }
        val host = VirtualHost(RouterNode(settings), incarnation, run.time.nowMillis)
        hosts[id] = host
        act(id, host.node.offerState(run.time.nowMillis, VersionedState(1, "first", run.state)))
    }

    /** Lets [host] read [state] from the platform. */
    public fun offer(host: HostId, state: VersionedState): Unit =
        act(host, hosts.getValue(host).node.offerState(run.time.nowMillis, state))

    /** Returns the id of host [number] of [region]. */
    public fun hostId(region: RegionId, number: Int): HostId = HostId("$region-$number")

    override fun arrive(request: VirtualRequest) {
        val spec = request.flow.spec
        val id = hostId(spec.pool.region, request.hostNumber)
        val host = hosts.getValue(id)
        if (!host.running) return run.refuse(request)
        requests[request.id] = request
        holders[request.id] = id
        val pooled = PoolRequest(
            id = RequestId(request.id),
            workspace = spec.workspace,
            latencyClass = spec.latencyClass,
            long = spec.long,
            hintUnits = (spec.minUnits + spec.maxUnits) / 2,
            arrivedAtMillis = run.time.nowMillis,
            deadlineAtMillis = run.time.nowMillis + spec.deadlineMillis,
            hedgeable = !spec.long,
        )
        whenAwake(host) { act(id, host.node.arrive(run.time.nowMillis, spec.pool, pooled)) }
    }

    override fun progress(request: VirtualRequest, attemptId: String, servedUnits: Double) {
        val spec = request.flow.spec
        withHost(request) { host ->
            host.node.progress(spec.pool, RequestId(attemptId), servedUnits)
            if (spec.long && servedUnits > 0) host.node.answering(run.time.nowMillis, spec.pool, RequestId(attemptId))
        }
    }

    override fun ended(request: VirtualRequest, attemptId: String, upstream: UpstreamId, servedUnits: Double) {
        val outcome = if (servedUnits >= request.units) AttemptOutcome.COMPLETED else AttemptOutcome.CANCELLED
        withHost(request) { host ->
            val id = RequestId(attemptId)
            act(holders.getValue(request.id), host.node.end(run.time.nowMillis, request.flow.spec.pool, id, servedUnits, outcome))
        }
    }

    override fun waitingCount(pool: PoolId): Int = hosts.values.filter { it.running }.sumOf { it.node.queuedCount(pool) }

    override fun controlBytes(): Long = hosts.values.maxOf { it.sentBytes }

    private fun withHost(request: VirtualRequest, block: (VirtualHost) -> Unit) {
        val host = holders[request.id]?.let { hosts[it] } ?: return
        whenAwake(host) { if (host.running && host.startMillis <= request.arrivedAtMillis) block(host) }
    }

    private fun hostUrls(): List<String> = hosts.keys.take(SEEDS).map { "http://$it" }

    private fun act(from: HostId, effects: List<NodeEffect>, replyTo: HostId? = null) {
        for (effect in effects) {
            when (effect) {
                is NodeEffect.Send -> {
                    val to = HostId(effect.url.removePrefix("http://"))
                    send(from, to, effect.messages, if (to == replyTo) RESPONSE_HEAD_BYTES else REQUEST_HEAD_BYTES)
                }
                is NodeEffect.Request -> carryOut(effect.effect)
                is NodeEffect.FetchState -> fetch(from, HostId(effect.url.removePrefix("http://")))
                else -> Unit
            }
        }
    }

    private fun carryOut(effect: HolderEffect) {
        when (effect) {
            is HolderEffect.Dispatch -> run.send(
                requests.getValue(effect.request.id.value),
                effect.request.id.value,
                effect.upstream,
            )
            is HolderEffect.Hedge -> run.send(requests.getValue(effect.original.value), effect.copy.id.value, effect.upstream)
            is HolderEffect.Refuse -> run.refuse(requests.getValue(effect.request.id.value))
            is HolderEffect.Report -> Unit
        }
    }

    private fun send(from: HostId, to: HostId, messages: List<PeerMessage>, headBytes: Int) {
        val sender = hosts.getValue(from)
        sender.sequence++
        val envelope = PeerEnvelope(from, sender.incarnation, sender.sequence, messages)
        val bytes = wireBytes(sender, to, envelope, headBytes)
        sender.sentBytes += bytes
        sender.sentEnvelopes++
        sender.node.budget.spend(bytes.toLong())
        run.time.after(delayMillis(from, to)) {
            val receiver = hosts[to]
            val lost = receiver == null || !receiver.running || isCut(from, to)
            if (lost) {
                run.time.after(SILENCE_MILLIS) { notice(from, to) }
            } else {
                whenAwake(receiver) { act(to, receiver.node.receive(run.time.nowMillis, envelope), replyTo = from) }
            }
        }
    }

    /**
     * Counts bytes as the routers' transport does: heartbeats alone as requests, all else on a stream for each pair of hosts.
     */
    private fun wireBytes(sender: VirtualHost, to: HostId, envelope: PeerEnvelope, headBytes: Int): Int {
        if (envelope.messages.all { it is Heartbeat }) {
            return WireJson.encodeToString(PeerEnvelope.serializer(), envelope).length + headBytes
        }
        return sender.streams.getOrPut(to) { EnvelopeEncoder() }.encode(envelope).size + CHUNK_FRAME_BYTES
    }

    private fun notice(host: HostId, silent: HostId) {
        val entry = hosts.getValue(host)
        if (entry.running) act(host, entry.node.markUnreachable(run.time.nowMillis, silent))
    }

    private fun fetch(host: HostId, from: HostId) {
        if (isCut(host, from) || isCut(from, host)) return
        run.time.after(2 * delayMillis(host, from)) {
            val state = hosts[from]?.takeIf { it.running }?.node?.state ?: return@after
            hosts.getValue(host).let { act(host, it.node.offerState(run.time.nowMillis, state)) }
        }
    }

    private fun delayMillis(from: HostId, to: HostId): Long =
        if (from.value.substringBeforeLast('-') == to.value.substringBeforeLast('-')) NEAR_MILLIS else FAR_MILLIS

    private companion object {
        const val TICK_MILLIS = 10L
        const val NEAR_MILLIS = 1L
        const val FAR_MILLIS = 5L
        const val SILENCE_MILLIS = 500L
        const val REQUEST_HEAD_BYTES = 250
        const val RESPONSE_HEAD_BYTES = 100
        const val CHUNK_FRAME_BYTES = 8
        const val SEEDS = 3
        const val SEED_FACTOR = 1_000
    }
}
