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
    fun noRequestIsQueuedBeyondItsObjectiveOrDeadline() {
        for (rank in WaitingRank.entries) {
            val until = policy.queueUntilMillis(route, rank, arrivedAtMillis = 0, deadlineAtMillis = 12_000)
            assertTrue(until < 800, "a request of rank $rank is queued until $until ms")
        }
        assertTrue(policy.queueUntilMillis(route, WaitingRank.DUE, arrivedAtMillis = 0, deadlineAtMillis = 200) <= 100)
    }

    /** The preferred engine of a shared part is full for longer than a request may be queued, while others have room. */
    @Test
    fun aRequestThatWaitedForTheBestUpstreamHasTimeToUseAnother() {
        val until = policy.queueUntilMillis(route, WaitingRank.DUE, arrivedAtMillis = 0, deadlineAtMillis = 12_000)
        assertTrue(policy.waitForBestUntilMillis(route, arrivedAtMillis = 0) <= until - 100)
    }

    /** A thousand callers are refused at once. Each may spend about a third of its remaining time on the retry delay. */
    @Test
    fun callersRefusedTogetherDoNotRetryTogether() {
        val delaysMillis = List(1_000) { policy.retryAfterMillis(route, leftMillis = 12_000) }
        assertTrue(delaysMillis.all { it in 400.0..4_000.0 })
        val busiest = delaysMillis.groupingBy { (it / 400).toInt() }.eachCount().values.max()
        assertTrue(busiest < 200, "$busiest of 1,000 callers retry within the same 400 ms")
        assertTrue(policy.retryAfterMillis(route, leftMillis = 300) <= 100.0)
    }

    /** Callers are refused in a burst and retry after their objective has passed, along with new callers. */
    @Test
    fun aRetryIsRecognizedByItsFingerprint() {
        val tracker = CallerRetryTracker()
        val first = fingerprint("own-1")
        assertEquals(0, tracker.waitedMillis(0, first, LIMIT_MILLIS))
        tracker.recordRefusal(480, first, waitedMillis = 480)
        assertEquals(0, tracker.waitedMillis(900, fingerprint("own-2"), LIMIT_MILLIS))
        assertEquals(1_900, tracker.waitedMillis(1_900, first, LIMIT_MILLIS))
        tracker.recordRefusal(2_000, first, waitedMillis = 2_000)
        assertEquals(4_000, tracker.waitedMillis(4_000, first, LIMIT_MILLIS))
        assertEquals(0, tracker.waitedMillis(9_000, first, LIMIT_MILLIS), "the entry of a served request was not removed")
    }

    @Test
    fun anIdenticalRequestAfterTheTimeLimitCountsAsNew() {
        val tracker = CallerRetryTracker()
        tracker.recordRefusal(0, fingerprint("own-1"), waitedMillis = 0)
        assertEquals(0, tracker.waitedMillis(LIMIT_MILLIS + 1, fingerprint("own-1"), LIMIT_MILLIS))
    }

    @Test
    fun theNumberOfTrackedRequestsIsBounded() {
        val tracker = CallerRetryTracker()
        repeat(10_000) { tracker.recordRefusal(it.toLong(), fingerprint("own-$it"), waitedMillis = 0) }
        assertEquals(0, tracker.waitedMillis(10_000, fingerprint("own-0"), LIMIT_MILLIS))
        assertEquals(1, tracker.waitedMillis(10_000, fingerprint("own-9999"), LIMIT_MILLIS))
    }

    @Test
    fun aSnapshotReplacesThePreviousOneOfItsSourceAndExpires() {
        val workspace = WorkspaceId("w")
        val accounts = FleetAccounts(1_200.0)
        accounts.charge(0, workspace, 100.0)
        accounts.putSnapshot(0, "zone:a", mapOf(workspace to 500.0))
        accounts.putSnapshot(0, "zone:a", mapOf(workspace to 300.0))
        assertEquals(400.0, accounts.recentTokens(0, workspace))
        assertEquals(0.25, accounts.ownFraction(0, workspace))
        assertEquals(mapOf(workspace to 100.0), accounts.recentOf(0, withOwn = true) { false })
        assertTrue(accounts.recentTokens(2_001, workspace) < 100.0)
    }

    private fun fingerprint(ownPart: String): RequestFingerprint {
        val parts = listOf(PromptPart("shared", 500), PromptPart(ownPart, 400))
        return RequestFingerprint("r", WorkspaceId("w"), TokenDemand(1_200, 60, parts))
    }

    private companion object {
        const val LIMIT_MILLIS = 12_000L
    }
}
