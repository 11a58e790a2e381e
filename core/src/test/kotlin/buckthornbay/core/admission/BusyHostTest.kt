package buckthornbay.core.admission

import buckthornbay.core.Clock
import buckthornbay.core.KnownRed
import buckthornbay.core.load.Candidate
import buckthornbay.core.load.Choice
import buckthornbay.core.load.EngineLoad
import buckthornbay.core.load.Placement
import buckthornbay.core.load.PrefixCacheModel
import buckthornbay.core.load.PromptPart
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.load.UpstreamLoad
import buckthornbay.core.load.UpstreamReliability
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WorkspaceId
import org.junit.jupiter.api.extension.ExtendWith
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** One host of a large fleet that most of the requests reach, because the callers of a workspace that surges all use it. */
@ExtendWith(KnownRed::class)
class BusyHostTest {
    private val service = ServiceId("models")
    private val region = RegionId("region")
    private var nowMillis = 0L
    private val clock = Clock { nowMillis }
    private val startedWork = FleetAccounts(4_000.0)
    private val accounts = WorkspaceAccounts(startedWork, FleetAccounts(1_200.0), FleetBacklog(startedWork), clock) { emptySet() }
    private var examinedEngines = 0
    private var isPreferredFull = true
    private val engines = List(ENGINES) { number ->
        Candidate(UpstreamId("engine-$number"), region, CountingLoad(number), UpstreamReliability(), PrefixCacheModel())
    }
    private val dispatcher = Dispatcher({ engines }, accounts, Placement(region), clock, { HOSTS })
    private val sent = ArrayList<String>()

    /** Counts how often an engine is examined; the [PREFERRED] one is idle, the others have long queues. */
    private inner class CountingLoad(private val number: Int, private val inner: UpstreamLoad = EngineLoad { 1.0 }) :
        UpstreamLoad by inner {
        override fun hasRoom(nowMillis: Long, cost: Double): Boolean = number != PREFERRED || !isPreferredFull

        override fun expectedWaitMillis(nowMillis: Long): Double {
            examinedEngines++
            return if (number == PREFERRED) 0.0 else LONG_WAIT_MILLIS
        }
    }

    private inner class WaitingRequest(override val id: String, override val workspaceId: WorkspaceId) : DispatchedRequest {
        override val service: ServiceId = this@BusyHostTest.service
        override val demand = TokenDemand(1_000, 100, listOf(PromptPart("own-$id", 1_000)))
        override val rank = WaitingRank.DUE
        override val triedUpstreams: Set<UpstreamId> = emptySet()
        override var queueEntry: QueuedRequest<DispatchedRequest>? = null
        override var heldBy: HoldReason? = null

        override fun queueUntilMillis(): Long = QUEUE_MILLIS

        override fun mayWaitForBestUpstream(nowMillis: Long): Boolean = nowMillis < QUEUE_MILLIS

        override fun send(choice: Choice) {
            sent += id
        }

        override fun refuse(reason: String, retryAfterMillis: Long?): Unit = error("refused: $reason")
    }

    /** Requests wait for an engine that is clearly better than those that have room, while responses begin and end elsewhere. */
    @Test
    fun eventsDoNotMakeAHostExamineAllEnginesForEachWaitingRequest() {
        repeat(WAITING) { dispatcher.submit(WaitingRequest("request-$it", WorkspaceId("workspace-${it % WORKSPACES}"))) }
        examinedEngines = 0
        repeat(EVENTS) { dispatcher.place(service) }
        assertEquals(emptyList(), sent)
        assertTrue(examinedEngines <= ENGINES * EVENTS, "$examinedEngines engines were examined in $EVENTS events")
    }

    /** What is not examined at each event is sent all the same as soon as the awaited engine has room. */
    @Test
    fun waitingRequestsAreSentWhenTheAwaitedEngineHasRoom() {
        repeat(WAITING) { dispatcher.submit(WaitingRequest("request-$it", WorkspaceId("workspace-${it % WORKSPACES}"))) }
        dispatcher.place(service)
        isPreferredFull = false
        dispatcher.place(service)
        assertTrue(sent.isNotEmpty())
    }

    /** A request that may no longer wait for the better engine is sent to another one. */
    @Test
    fun waitingRequestsAreSentElsewhereInTime() {
        dispatcher.submit(WaitingRequest("request", WorkspaceId("workspace")))
        assertEquals(emptyList(), sent)
        nowMillis = QUEUE_MILLIS
        dispatcher.place(service)
        assertEquals(listOf("request"), sent)
    }

    private companion object {
        const val HOSTS = 67
        const val ENGINES = 78
        const val PREFERRED = 5
        const val LONG_WAIT_MILLIS = 5_000.0
        const val QUEUE_MILLIS = 180L
        const val WORKSPACES = 30
        const val WAITING = 100
        const val EVENTS = 50
    }
}
