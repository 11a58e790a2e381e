package buckthornbay.core.admission

import buckthornbay.protocol.ServiceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EngineCapacityTest {
    private val service = ServiceId("models")
    private val work = EngineWorkAccounts()
    private var hosts = 72
    private val capacity = EngineCapacity(work, { hosts })

    private fun estimate(pendingTokens: Double, begunTokensPerSecond: Double): Double {
        work.putSnapshot(0, "others", mapOf(service to EngineWork(pendingTokens, begunTokensPerSecond)))
        return capacity.tokensPerSecond(0, STATED)
    }

    @Test
    fun withoutReportsTheStatedThroughputIsDivided() {
        assertEquals(STATED, capacity.tokensPerSecond(0, STATED))
        assertEquals(STATED, estimate(100_000.0, 0.0), "nothing has begun yet")
    }

    @Test
    fun enginesThatAreAskedForLittleAreWorthTheStatedThroughput() {
        assertEquals(STATED, estimate(pendingTokens = 20_000.0, begunTokensPerSecond = 100_000.0))
    }

    /** Cached prompts make engines begin twice what is stated, without waits. */
    @Test
    fun enginesThatBeginMoreThanIsStatedAreWorthMore() {
        assertTrue(estimate(pendingTokens = 500_000.0, begunTokensPerSecond = 2.0 * STATED) > 2.0 * STATED)
    }

    /** Engines that are slow begin less and let work wait, whatever is stated. */
    @Test
    fun enginesInWhichWorkWaitsAreWorthLessThanTheyBegin() {
        val begun = 0.5 * STATED
        val estimates = listOf(1.0, 2.0, 4.0).map { waitSeconds -> estimate(begun * waitSeconds, begun) }
        assertTrue(estimates.all { it < begun }, "estimates $estimates of engines that begin $begun")
        assertEquals(estimates.sortedDescending(), estimates)
    }

    @Test
    fun aSmallFleetDividesTheStatedThroughput() {
        hosts = 12
        assertEquals(STATED, estimate(pendingTokens = 500_000.0, begunTokensPerSecond = 2.0 * STATED))
    }

    /** While the load rises, responses begin later than requests are sent. */
    @Test
    fun requestsOfAFleetThatHasJustStartedAreNoSignOfSlowEngines() {
        assertEquals(STATED, estimate(pendingTokens = 150_000.0, begunTokensPerSecond = 50_000.0))
    }

    private companion object {
        const val STATED = 1_000_000.0
    }
}
