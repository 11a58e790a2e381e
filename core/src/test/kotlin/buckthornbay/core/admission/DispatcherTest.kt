package buckthornbay.core.admission

import buckthornbay.core.Clock
import buckthornbay.core.load.Candidate
import buckthornbay.core.load.Choice
import buckthornbay.core.load.Placement
import buckthornbay.core.load.PlainLoad
import buckthornbay.core.load.RateLimitedLoad
import buckthornbay.core.load.SendOutcome
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.load.UpstreamLoad
import buckthornbay.core.load.UpstreamReliability
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals

class DispatcherTest {
    private val service = ServiceId("models")
    private val region = RegionId("region")
    private val clock = Clock { nowMillis }
    private var nowMillis = 0L
    private var limit: Double? = null
    private var hasRoom = true
    private var onSent = {}
    private val sent = ArrayList<String>()
    private val refused = ArrayList<String>()
    private val retryAfter = ArrayList<Long?>()
    private var pausedUntilMillis = 0L
    private val startedWork = FleetAccounts(4_000.0)
    private val accounts =
        WorkspaceAccounts(startedWork, FleetAccounts(1_200.0), FleetBacklog(startedWork), Clock { nowMillis }) { emptySet() }
    private val upstream = Candidate(
        UpstreamId("engine"),
        region,
        RateLimitedLoad(GatedLoad(PlainLoad(slots = 64))) { limit },
        UpstreamReliability(),
        cache = null,
    ) { pausedUntilMillis }
    private val dispatcher =
        Dispatcher({ listOf(upstream) }, accounts, Placement(region), clock)

    private inner class GatedLoad(private val inner: UpstreamLoad) : UpstreamLoad by inner {
        override fun hasRoom(nowMillis: Long, cost: Double): Boolean = hasRoom && inner.hasRoom(nowMillis, cost)
    }

    private inner class TestRequest(
        override val id: String,
        override val demand: TokenDemand? = null,
        override val isBelowShare: Boolean = false,
    ) : DispatchedRequest {
        override val service: ServiceId = this@DispatcherTest.service
        override val workspaceId = WorkspaceId("workspace")
        override val rank = WaitingRank.DUE
        override val triedUpstreams: Set<UpstreamId> = emptySet()
        override var queueEntry: QueuedRequest<DispatchedRequest>? = null
        override var heldBy: HoldReason? = null
        private val queuedAtMillis = nowMillis

        override fun queueUntilMillis(): Long = queuedAtMillis + QUEUE_MILLIS

        override fun mayWaitForBestUpstream(nowMillis: Long): Boolean = false

        override fun send(choice: Choice) {
            choice.upstream.load.sent(nowMillis, id, choice.cost)
            sent += id
            onSent()
        }

        override fun refuse(reason: String, retryAfterMillis: Long?) {
            refused += id
            retryAfter += retryAfterMillis
        }
    }

    private fun submit(numbers: IntRange) = numbers.forEach { dispatcher.submit(TestRequest("$it")) }

    /** An engine that states few requests per second can't take a burst before the requests time out. */
    @Test
    fun requestsBeyondAStatedRateLimitWaitInVain() {
        limit = 8.0
        submit(1..10)
        assertEquals(emptyList(), sent)
        assertEquals((3..10).map { "$it" }, refused)
        nowMillis = QUEUE_MILLIS / 2
        dispatcher.placeAll()
        nowMillis = QUEUE_MILLIS
        dispatcher.placeAll()
        assertEquals(listOf("1"), sent)
    }

    /** A request that fails while it is sent makes room, so that the queue is placed again before it has left it. */
    @Test
    fun aRequestIsSentAgainWhileItIsBeingSent() {
        var depth = 0
        onSent = {
            depth++
            assertEquals(1, depth, "each request that fails at once adds to the stack")
            upstream.load.ended(nowMillis, sent.last(), SendOutcome.UNREACHABLE)
            dispatcher.place(service)
            depth--
        }
        hasRoom = false
        submit(1..50)
        hasRoom = true
        dispatcher.place(service)
        assertEquals((1..50).map { "$it" }, sent)
        assertEquals(0, dispatcher.waitingCount)
    }

    @Test
    fun requestsForUpstreamsWithoutAStatedRateLimitAreRefusedEarly() {
        submit(1..100)
        assertEquals(64, sent.size)
        assertEquals(emptyList(), refused)
        assertEquals(36, dispatcher.waitingCount)
    }

    /** Callers may state tokens on routes to plain services as well, whose load is counted in requests. */
    @Test
    fun statedTokensDoNotLimitRequestsToAPlainService() {
        for (number in 1..10) dispatcher.submit(TestRequest("$number", TokenDemand(100_000, 10, emptyList())))
        assertEquals((1..10).map { "$it" }, sent)
    }

    /** The more of a workspace's requests upstreams reject, the better served it would look otherwise. */
    @Test
    fun rejectedSendsAreNotCharged() {
        val demand = TokenDemand(12_000, 10, emptyList())
        dispatcher.submit(TestRequest("rejected", demand))
        dispatcher.attemptEnded("rejected", SendOutcome.REFUSED)
        assertEquals(0.0, startedWork.recentTokens(nowMillis, WorkspaceId("workspace")))
        dispatcher.submit(TestRequest("begun", demand))
        dispatcher.responseStarted("begun")
        dispatcher.attemptEnded("begun", SendOutcome.FAILED)
        assertEquals(demand.workTokens, startedWork.recentTokens(nowMillis, WorkspaceId("workspace")))
    }

    @Test
    fun aQueuedRequestTellsWhatKeepsItQueued() {
        val noRoom = TestRequest("no room")
        hasRoom = false
        dispatcher.submit(noRoom)
        assertEquals(HoldReason.NO_ROOM, noRoom.heldBy)
        val limited = Dispatcher({ listOf(upstream) }, accounts, Placement(region), clock) { -1.0 }
        val overLimit = TestRequest("over the limit", TokenDemand(100, 10, emptyList()))
        limited.submit(overLimit)
        assertEquals(HoldReason.PENDING_LIMIT, overLimit.heldBy)
    }

    /** A host's part of the limit may be smaller than one request, and taken by those of a workspace that surges. */
    @Test
    fun aRequestBelowTheShareOfItsWorkspaceIsHeldByAHostsPartOfTheLimit() {
        val limited = Dispatcher({ listOf(upstream) }, accounts, Placement(region), clock) { -1.0 }
        val demand = TokenDemand(100, 10, emptyList())
        limited.submit(TestRequest("beyond", demand))
        limited.submit(TestRequest("below", demand, isBelowShare = true))
        assertEquals(listOf("below"), sent)
    }

    /** Hosts with many callers let work wait in the engines for 2.5 times the time that the limit stands for. */
    @Test
    fun dueRequestsOfAHostWithALargePartOfTheLimitWaitInTheEngines() {
        val limited = Dispatcher({ listOf(upstream) }, accounts, Placement(region), clock) { 100_000.0 }
        val demand = TokenDemand(100, 10, emptyList())
        accounts.engineWork.sent(service, 105_000.0)
        limited.submit(TestRequest("a request beyond the limit", demand))
        accounts.engineWork.sent(service, 10_000.0)
        limited.submit(TestRequest("two requests beyond the limit", demand))
        assertEquals(listOf("a request beyond the limit"), sent)
    }

    @Test
    fun requestsThatAPauseOutlastsAreRefusedWithTheTimeOfItsEnd() {
        pausedUntilMillis = QUEUE_MILLIS + 1
        submit(1..3)
        assertEquals(listOf("1", "2", "3"), refused)
        assertEquals(List<Long?>(3) { QUEUE_MILLIS + 1 }, retryAfter)
        pausedUntilMillis = QUEUE_MILLIS
        submit(4..5)
        assertEquals(2, dispatcher.waitingCount, "the pause ends in time")
        pausedUntilMillis = 10 * QUEUE_MILLIS
        dispatcher.placeAll()
        assertEquals(0 to 5, dispatcher.waitingCount to refused.size, "the pause became longer while they waited")
        nowMillis = pausedUntilMillis
        submit(6..6)
        assertEquals(listOf("6"), sent)
    }

    private companion object {
        /** Time that a request may stay queued, in milliseconds: three tenths of an objective of 800 ms. */
        const val QUEUE_MILLIS = 240L
    }
}
