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

/** A scheduling policy that runs the routers' own decision code; the routers exchange messages over a simulated network. */
public class RouterScheduling(private val configure: NodeSettingsBuilder.() -> Unit = {}) : Scheduling {
    override val name: String = "buckthornbay"

    /** The simulated hosts. */
    public val hosts: MutableMap<HostId, VirtualHost> = LinkedHashMap()

    /** Whether messages from the first host to the second are dropped. */
    public var isPartitioned: (HostId, HostId) -> Boolean = { _, _ -> false }

    private lateinit var run: VirtualRun
    private val requests = HashMap<String, VirtualRequest>()
    private val hostByRequest = HashMap<String, HostId>()

    /** A simulated host that runs one router. */
    public class VirtualHost internal constructor(
        public val node: RouterNode,
        internal val incarnation: Long,
        internal val startMillis: Long,
    ) {
        /** Whether the process is running; a stopped one makes no decisions and receives no messages. */
        public var running: Boolean = true

        /** Time at which the pause of the process ends; messages that arrive during a pause are delivered after it. */
        public var pausedUntilMillis: Long = 0

        /** Control bytes sent to other hosts. */
        public var sentBytes: Long = 0
            internal set

        /** Envelopes sent to other hosts. */
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
        if (host.running && host.pausedUntilMillis <= run.time.nowMillis) handleEffects(id, host.node.tick(run.time.nowMillis))
    }

    /** Runs [action] immediately, or at the end of the pause if [host] is paused. */
    private fun whenNotPaused(host: VirtualHost, action: () -> Unit) {
        val waitMillis = host.pausedUntilMillis - run.time.nowMillis
        if (waitMillis > 0) run.time.after(waitMillis) { whenNotPaused(host, action) } else action()
    }

    /** Starts host [number] of [region] with empty state; replaces a host that is already running under that id. */
    public fun start(region: RegionId, number: Int, incarnation: Long) {
        val id = hostId(region, number)
        val member = Member(id, "http://$id", region, ZoneId("$region-a"), incarnation)
        val settings = buildNodeSettings(member) {
            seedUrls = hostUrls()
            seed = run.seed * SEED_STRIDE + hosts.size
            configure()
        }
        val host = VirtualHost(RouterNode(settings), incarnation, run.time.nowMillis)
        hosts[id] = host
        handleEffects(id, host.node.offerState(run.time.nowMillis, VersionedState(1, "first", run.state)))
    }

    /** Delivers [state] to [host] as if read from the platform. */
    public fun offer(host: HostId, state: VersionedState): Unit =
        handleEffects(host, hosts.getValue(host).node.offerState(run.time.nowMillis, state))

    /** Returns the id of host [number] of [region]. */
    public fun hostId(region: RegionId, number: Int): HostId = HostId("$region-$number")

    override fun arrive(request: VirtualRequest) {
        val spec = request.flow.spec
        val id = hostId(spec.pool.region, request.hostNumber)
        val host = hosts.getValue(id)
        if (!host.running) return run.refuse(request)
        requests[request.id] = request
        hostByRequest[request.id] = id
        val poolRequest = PoolRequest(
            id = RequestId(request.id),
            workspace = spec.workspace,
            latencyClass = spec.latencyClass,
            long = spec.long,
            hintUnits = (spec.minUnits + spec.maxUnits) / 2,
            arrivedAtMillis = run.time.nowMillis,
            deadlineAtMillis = run.time.nowMillis + spec.deadlineMillis,
            hedgeable = !spec.long,
        )
        whenNotPaused(host) { handleEffects(id, host.node.arrive(run.time.nowMillis, spec.pool, poolRequest)) }
    }

    override fun progress(request: VirtualRequest, attemptId: String, servedUnits: Double) {
        val spec = request.flow.spec
        withHost(request) { host ->
            host.node.progress(spec.pool, RequestId(attemptId), servedUnits)
            if (spec.long && servedUnits > 0) host.node.responseStarted(run.time.nowMillis, spec.pool, RequestId(attemptId))
        }
    }

    override fun ended(request: VirtualRequest, attemptId: String, upstream: UpstreamId, servedUnits: Double) {
        val outcome = if (servedUnits >= request.units) AttemptOutcome.COMPLETED else AttemptOutcome.CANCELLED
        withHost(request) { host ->
            val id = RequestId(attemptId)
            handleEffects(
                hostByRequest.getValue(request.id),
                host.node.end(run.time.nowMillis, request.flow.spec.pool, id, servedUnits, outcome),
            )
        }
    }

    override fun waitingCount(pool: PoolId): Int = hosts.values.filter { it.running }.sumOf { it.node.queuedCount(pool) }

    override fun controlBytes(): Long = hosts.values.maxOf { it.sentBytes }

    private fun withHost(request: VirtualRequest, block: (VirtualHost) -> Unit) {
        val host = hostByRequest[request.id]?.let { hosts[it] } ?: return
        whenNotPaused(host) { if (host.running && host.startMillis <= request.arrivedAtMillis) block(host) }
    }

    private fun hostUrls(): List<String> = hosts.keys.take(SEED_URL_COUNT).map { "http://$it" }

    private fun handleEffects(from: HostId, effects: List<NodeEffect>, replyTo: HostId? = null) {
        for (effect in effects) {
            when (effect) {
                is NodeEffect.Send -> {
                    val to = HostId(effect.url.removePrefix("http://"))
                    send(from, to, effect.messages, if (to == replyTo) RESPONSE_HEAD_BYTES else REQUEST_HEAD_BYTES)
                }
                is NodeEffect.Request -> handleRequestEffect(effect.effect)
                is NodeEffect.FetchState -> fetch(from, HostId(effect.url.removePrefix("http://")))
                else -> Unit
            }
        }
    }

    private fun handleRequestEffect(effect: HolderEffect) {
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
            val lost = receiver == null || !receiver.running || isPartitioned(from, to)
            if (lost) {
                run.time.after(UNREACHABLE_TIMEOUT_MILLIS) { reportUnreachable(from, to) }
            } else {
                whenNotPaused(receiver) { handleEffects(to, receiver.node.receive(run.time.nowMillis, envelope), replyTo = from) }
            }
        }
    }

    /**
     * Returns the size of [envelope] on the wire.
     *
     * As in the routers' transport, an envelope that contains only heartbeats is sent as a separate request; any other is a chunk
     * of the stream between the two hosts.
     */
    private fun wireBytes(sender: VirtualHost, to: HostId, envelope: PeerEnvelope, headBytes: Int): Int {
        if (envelope.messages.all { it is Heartbeat }) {
            return WireJson.encodeToString(PeerEnvelope.serializer(), envelope).length + headBytes
        }
        return sender.streams.getOrPut(to) { EnvelopeEncoder() }.encode(envelope).size + CHUNK_FRAME_BYTES
    }

    private fun reportUnreachable(host: HostId, peer: HostId) {
        val entry = hosts.getValue(host)
        if (entry.running) handleEffects(host, entry.node.markUnreachable(run.time.nowMillis, peer))
    }

    private fun fetch(host: HostId, from: HostId) {
        if (isPartitioned(host, from) || isPartitioned(from, host)) return
        run.time.after(2 * delayMillis(host, from)) {
            val state = hosts[from]?.takeIf { it.running }?.node?.state ?: return@after
            hosts.getValue(host).let { handleEffects(host, it.node.offerState(run.time.nowMillis, state)) }
        }
    }

    private fun delayMillis(from: HostId, to: HostId): Long =
        if (from.value.substringBeforeLast('-') == to.value.substringBeforeLast('-')) INTRA_REGION_MILLIS else CROSS_REGION_MILLIS

    private companion object {
        const val TICK_MILLIS = 10L
        const val INTRA_REGION_MILLIS = 1L
        const val CROSS_REGION_MILLIS = 5L
        const val UNREACHABLE_TIMEOUT_MILLIS = 500L
        const val REQUEST_HEAD_BYTES = 250
        const val RESPONSE_HEAD_BYTES = 100
        const val CHUNK_FRAME_BYTES = 8
        const val SEED_URL_COUNT = 3
        const val SEED_STRIDE = 1_000
    }
}
