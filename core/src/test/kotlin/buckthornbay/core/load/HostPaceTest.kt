package buckthornbay.core.load

import buckthornbay.core.Clock
import buckthornbay.core.admission.DispatchedRequest
import buckthornbay.core.admission.Dispatcher
import buckthornbay.core.admission.FleetAccounts
import buckthornbay.core.admission.FleetBacklog
import buckthornbay.core.admission.HoldReason
import buckthornbay.core.admission.QueuedRequest
import buckthornbay.core.admission.WaitingRank
import buckthornbay.core.admission.WorkspaceAccounts
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** One host of 72 with 42 engines, to which it sends requests of 12,000 tokens. */
class HostPaceTest {
    private val service = ServiceId("models")
    private val region = RegionId("region")
    private val clock = Clock { nowMillis }
    private var nowMillis = 0L
    private val sent = ArrayList<Choice>()
    private val startedWork = FleetAccounts(4_000.0)
    private val accounts =
        WorkspaceAccounts(startedWork, FleetAccounts(1_200.0), FleetBacklog(startedWork), clock) { emptySet() }
    private var hosts = 72
    private val engines = List(ENGINES) { number ->
        Candidate(UpstreamId("engine-$number"), region, EngineLoad { 1.0 / hosts }, UpstreamReliability(), PrefixCacheModel())
    }
    private val dispatcher = Dispatcher({ engines }, accounts, Placement(region), clock, { hosts })

    private inner class LargeRequest(override val id: String) : DispatchedRequest {
        override val service: ServiceId = this@HostPaceTest.service
        override val workspaceId = WorkspaceId("workspace")
        override val demand = TokenDemand(REQUEST_TOKENS, 300, listOf(PromptPart("part-$id", REQUEST_TOKENS)))
        override val rank = WaitingRank.DUE
        override val triedUpstreams: Set<UpstreamId> = emptySet()
        override var queueEntry: QueuedRequest<DispatchedRequest>? = null
        override var heldBy: HoldReason? = null

        override fun queueUntilMillis(): Long = Long.MAX_VALUE

        override fun mayWaitForBestUpstream(nowMillis: Long): Boolean = false

        override fun refuse(reason: String, retryAfterMillis: Long?) = error("nothing is refused here: $reason")

        override fun send(choice: Choice) {
            choice.upstream.load.sent(nowMillis, id, choice.cost)
            choice.upstream.load.responseStarted(nowMillis, id, report = null)
            choice.upstream.load.ended(nowMillis, id, SendOutcome.ANSWERED)
            sent += choice
        }
    }

    /** The parts of all hosts must not add up to more than the engines can do, however the requests are spread over them. */
    @Test
    fun aHostSendsItsPartOfAllEnginesAndOneRequestMore() {
        repeat(100) { dispatcher.submit(LargeRequest("$it")) }
        for (second in 0..4) {
            while (nowMillis < second * 1_000) {
                nowMillis += 10
                dispatcher.placeAll()
            }
            val sentTokens = sent.sumOf { it.cost }
            val allowed = ownTokensPerSecond() * (second + BURST_SECONDS) + REQUEST_TOKENS
            assertTrue(sentTokens <= allowed, "$sentTokens tokens in $second s, allowed $allowed")
        }
        assertTrue(sent.sumOf { it.cost } >= ownTokensPerSecond() * 4, "the host uses its part")
    }

    /** There, a host's part of an engine covers a request soon, and demand moves between hosts faster than it is known. */
    @Test
    fun aHostOfASmallFleetIsLimitedByEachEngineOnly() {
        hosts = 9
        repeat(100) { dispatcher.submit(LargeRequest("$it")) }
        assertEquals(ENGINES, sent.size)
    }

    @Test
    fun aHostThatHasSentNothingHasOneBurst() {
        val pace = HostPace()
        val loads = { engines.map { it.load } }
        assertTrue(pace.hasRoom(0, loads))
        assertTrue(pace.hasRoom(60_000, loads))
        pace.sent(ownTokensPerSecond() * (BURST_SECONDS + 1.0))
        assertEquals(listOf(false, true), listOf(60_990L, 61_001L).map { pace.hasRoom(it, loads) })
    }

    private fun ownTokensPerSecond() = engines.sumOf { it.load.view(nowMillis).allowedPerSecond }

    private companion object {
        const val ENGINES = 42
        const val REQUEST_TOKENS = 12_000
        const val BURST_SECONDS = 1.8
    }
}
