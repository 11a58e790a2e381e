package buckthornbay.core.admission

import buckthornbay.core.load.PromptPart
import buckthornbay.core.load.TokenDemand
import buckthornbay.core.routing.Route
import buckthornbay.core.routing.RouteKind
import buckthornbay.protocol.WorkspaceId
import org.apache.commons.rng.simple.RandomSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AdmissionPolicyTest {
    private val policy = AdmissionPolicy(RandomSource.SPLIT_MIX_64.create(1))
    private val route = Route(
        name = "r",
        hostName = "h",
        pathPrefix = "/",
        kind = RouteKind.EVENT_STREAM,
        targets = emptyList(),
        timeoutMillis = 12_000,
        objectiveMillis = 800,
        maxAttempts = 1,
        public = false,
        prefixAffinity = true,
        resumable = false,
        longestPauseMillis = 300,
        priority = 1,
    )

    @Test
    fun nobodyWaitsUntilItIsTooLateToBeOnTime() {
        for (rank in WaitingRank.entries) {
            val until = policy.queueUntilMillis(route, rank, arrivedAtMillis = 0, deadlineAtMillis = 12_000)
            assertTrue(until < 800, "$rank waits until $until ms")
        }
        assertTrue(policy.queueUntilMillis(route, WaitingRank.DUE, arrivedAtMillis = 0, deadlineAtMillis = 200) <= 100)
    }

    /** The load: the first engine of a shared part is full for longer than a request may wait, and others have room. */
    @Test
    fun aRequestThatWaitedForOneUpstreamInVainHasTimeToGoElsewhere() {
        val until = policy.queueUntilMillis(route, WaitingRank.DUE, arrivedAtMillis = 0, deadlineAtMillis = 12_000)
        assertTrue(policy.waitForBestUntilMillis(route, arrivedAtMillis = 0) <= until - 100)
    }

    /** The load: a thousand callers are turned away at once. They may wait a third of what they have left. */
    @Test
    fun callersThatAreTurnedAwayTogetherDoNotReturnTogether() {
        val returns = List(1_000) { policy.retryAfterMillis(route, leftMillis = 12_000) }
        assertTrue(returns.all { it in 400.0..4_000.0 })
        val busiest = returns.groupingBy { (it / 400).toInt() }.eachCount().values.max()
        assertTrue(busiest < 200, "$busiest of 1,000 return within one 400 ms")
        assertTrue(policy.retryAfterMillis(route, leftMillis = 300) <= 100.0)
    }

    /** The load: callers are turned away in a burst and come back after their objective, beside others that are new. */
    @Test
    fun aCallerThatComesBackIsKnownByItsRequest() {
        val patience = CallerRetryTracker()
        val first = likeness("own-1")
        assertEquals(0, patience.waitedMillis(0, first, LIMIT_MILLIS))
        patience.recordRefusal(480, first, waitedMillis = 480)
        assertEquals(0, patience.waitedMillis(900, likeness("own-2"), LIMIT_MILLIS))
        assertEquals(1_900, patience.waitedMillis(1_900, first, LIMIT_MILLIS))
        patience.recordRefusal(2_000, first, waitedMillis = 2_000)
        assertEquals(4_000, patience.waitedMillis(4_000, first, LIMIT_MILLIS))
        assertEquals(0, patience.waitedMillis(9_000, first, LIMIT_MILLIS), "a caller that was served is remembered")
    }

    @Test
    fun aLikeRequestAfterTheTimeLimitIsAnotherOne() {
        val patience = CallerRetryTracker()
        patience.recordRefusal(0, likeness("own-1"), waitedMillis = 0)
        assertEquals(0, patience.waitedMillis(LIMIT_MILLIS + 1, likeness("own-1"), LIMIT_MILLIS))
    }

    @Test
    fun theCallersThatAreRememberedAreBounded() {
        val patience = CallerRetryTracker()
        repeat(10_000) { patience.recordRefusal(it.toLong(), likeness("own-$it"), waitedMillis = 0) }
        assertEquals(0, patience.waitedMillis(10_000, likeness("own-0"), LIMIT_MILLIS))
        assertEquals(1, patience.waitedMillis(10_000, likeness("own-9999"), LIMIT_MILLIS))
    }

    @Test
    fun whatASourceSaysReplacesWhatItSaidAndIsDroppedInTime() {
        val workspace = WorkspaceId("w")
        val accounts = FleetAccounts(1_200.0)
        accounts.charge(0, workspace, 100.0)
        accounts.putSnapshot(0, "zone:a", mapOf(workspace to 500.0))
        accounts.putSnapshot(0, "zone:a", mapOf(workspace to 300.0))
        assertEquals(400.0, accounts.recentTokens(0, workspace))
        assertEquals(0.25, accounts.ownPart(0, workspace))
        assertEquals(mapOf(workspace to 100.0), accounts.recentOf(0) { false })
        assertTrue(accounts.recentTokens(2_001, workspace) < 100.0)
    }

    private fun likeness(ownPart: String): RequestFingerprint {
        val parts = listOf(PromptPart("shared", 500), PromptPart(ownPart, 400))
        return RequestFingerprint("r", WorkspaceId("w"), TokenDemand(1_200, 60, parts))
    }

    private companion object {
        const val LIMIT_MILLIS = 12_000L
    }
}
