package buckthornbay.core.membership

import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertTrue

/** Tests that the times of store calls leave room for a response within the limits of odd deployments. */
class StoreCallTimesTest {
    private fun forEachTimes(
        lagMillis: Long,
        contactMillis: Long,
        test: (times: StoreCallTimes, rank: Int, hostCount: Int) -> Unit,
    ) {
        val times = StoreCallTimes(ChangeLimits(lagMillis, contactMillis))
        for (hostCount in listOf(1, 2, 7, 9, 12, 13, 72, 390)) {
            for (rank in 0 until hostCount) test(times, rank, hostCount)
        }
    }

    /** The checks of hosts whose watches are lost come in time, whenever the change came. */
    @ParameterizedTest
    @CsvSource(textBlock = LIMITS)
    fun aCheckAndItsResponseEndWithinTheLag(lagMillis: Long, contactMillis: Long) =
        forEachTimes(lagMillis, contactMillis) { times, rank, hostCount ->
            assertTrue(times.dueAgeMillis(rank, hostCount) + lagMillis / RESPONSE_DIVISOR <= lagMillis)
        }

    /** A check that was lost just before the end of a failure is followed by one that is answered in time. */
    @ParameterizedTest
    @CsvSource(textBlock = LIMITS)
    fun aCheckAfterALostOneEndsWithinBothLimits(lagMillis: Long, contactMillis: Long) {
        val random = RandomSource.SPLIT_MIX_64.create(1)
        val limitMillis = minOf(lagMillis, contactMillis)
        forEachTimes(lagMillis, contactMillis) { times, _, _ ->
            for (failed in 0..20) {
                val pauseMillis = times.overdueMillis(failed, random) + times.backoffMillis(failed + 1, random)
                assertTrue(pauseMillis + limitMillis / RESPONSE_DIVISOR <= limitMillis, "$pauseMillis ms after $failed failures")
            }
        }
    }

    /** While watches are answered, nobody checks. */
    @ParameterizedTest
    @CsvSource(textBlock = LIMITS)
    fun aWatchOfALoneHostEndsBeforeItChecks(lagMillis: Long, contactMillis: Long) {
        val times = StoreCallTimes(ChangeLimits(lagMillis, contactMillis))
        assertTrue(times.watchMillis(hostCount = 1) + lagMillis / (2 * RESPONSE_DIVISOR) <= times.dueAgeMillis(0, 1))
    }

    private companion object {
        /** Allowed lag and time of contact, in milliseconds. */
        const val LIMITS = """
            500, 500
            500, 3000
            2500, 3000
            4000, 3000
            10000, 3000
            10000, 10000
            60000, 3000
            60000, 60000"""

        /** Part of a limit that is left for a response and its application. */
        const val RESPONSE_DIVISOR = 5
    }
}
