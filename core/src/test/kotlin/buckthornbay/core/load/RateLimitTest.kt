package buckthornbay.core.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Tests the request rate limits that upstreams state for all hosts together. */
class RateLimitTest {
    private val limits = StatedRateLimits()

    /** Hosts that send to one upstream whenever they may; [fractions] are their parts of the demand. */
    private class Senders(private val limit: Double, private val fractions: List<Double>) {
        private val loads = divisionsOf(fractions) { mapOf("engine" to limit) }.mapIndexed { index, division ->
            RateLimitedLoad(EngineLoad { fractions[index] }) { nowMillis -> division.ownRate(nowMillis, "engine") }
        }
        private var sequence = 0

        /** Returns the times at which requests are sent within [seconds]. */
        fun play(seconds: Int): List<Long> {
            val sent = ArrayList<Long>()
            for (nowMillis in 0L until seconds * 1_000L step 10) {
                for (load in loads.filter { it.hasRoom(nowMillis, 16.0) }) {
                    val id = "request-${sequence++}"
                    load.sent(nowMillis, id, 16.0)
                    load.responseStarted(nowMillis, id, null)
                    load.ended(nowMillis, id, SendOutcome.ANSWERED)
                    sent += nowMillis
                }
            }
            return sent
        }
    }

    /** A limit must not be divided evenly among the hosts of a large fleet if the demand is at few of them. */
    @Test
    fun aHostWithHalfTheDemandOfALargeFleetGetsAnEvenPart() {
        for (limit in listOf(2.8, 7.9, 20.0)) {
            val fractions = listOf(0.5) + List(66) { 0.5 / 66 }
            assertLimitHolds(limit, fractions, minUsedFraction = 0.5)
            val ownRate = checkNotNull(divisionsOf(fractions) { mapOf("engine" to limit) }.first().ownRate(0, "engine"))
            assertTrue(ownRate >= 0.5 * limit - ROUNDING, "$ownRate of $limit")
        }
    }

    private val busyThird = List(67) { if (it < 22) 0.75 / 22 else 0.25 / 45 }

    /** The hosts that use an engine may all be among those whose callers are busier than the others. */
    @Test
    fun busyZonesOfALargeFleetExceedTheLimitsOfSomeUpstreams() {
        for (limit in listOf(1.5, 2.8, 5.0, 20.0)) {
            val upstreams = List(55) { "engine-$it" }
            val divisions = divisionsOf(busyThird) { upstreams.associateWith { limit } }
            for (upstream in upstreams) {
                val rates = divisions.mapNotNull { it.ownRate(0, upstream) }.filter { it > 0.0 }
                val mostInWindow = 4 * rates.sum() + rates.size
                assertTrue(mostInWindow <= 1.5 * 4 * limit + 5, "limit $limit, $upstream: up to $mostInWindow requests in 4 s")
            }
        }
    }

    /** What a host may send to all engines together must not depend on chance, nor be less where callers are busy. */
    @Test
    fun hostsOfALargeFleetMaySendTooLittleForTheirDemand() {
        val upstreams = List(55) { "engine-$it" }
        val divisions = divisionsOf(busyThird) { upstreams.associateWith { 5.0 } }
        divisions.zip(busyThird).forEachIndexed { host, (division, fraction) ->
            val owed = 55 * 5.0 * fraction
            val rate = upstreams.sumOf { checkNotNull(division.ownRate(0, it)) }
            assertTrue(rate >= owed - 1.0 && rate <= owed + 1.0, "host $host may send $rate of $owed requests per second")
        }
    }

    private fun assertLimitHolds(limit: Double, fractions: List<Double>, minUsedFraction: Double = 0.75) {
        val sent = Senders(limit, fractions).play(seconds = 40)
        val busiest = sent.maxOf { from -> sent.count { it in from until from + 4_000 } }
        val description = "limit $limit, ${fractions.size} hosts: $busiest requests in 4 s, ${sent.size} in 40 s"
        assertTrue(busiest <= 1.5 * 4 * limit + 5, description)
        assertTrue(sent.size >= minUsedFraction * 40 * limit, description)
    }

    @Test
    fun hostsTogetherExceedTheLimitOfAnUpstream() {
        for (limit in listOf(1.5, 2.8, 7.9, 20.0)) {
            for (hosts in listOf(1, 7, 9, 67, 390)) assertLimitHolds(limit, List(hosts) { 1.0 / hosts })
        }
    }

    @Test
    fun hostsWithUnevenDemandExceedTheLimitOfAnUpstream() {
        for (limit in listOf(2.8, 7.9)) assertLimitHolds(limit, listOf(0.6, 0.2) + List(7) { 0.2 / 7 })
    }

    @Test
    fun aLimitOfZeroStillLetsARequestThroughNowAndThen() {
        val sent = Senders(0.0, List(9) { 1.0 / 9 }).play(seconds = 40)
        assertTrue(sent.size in 5..25, "${sent.size} requests in 40 s")
    }

    @Test
    fun theFirstRequestsAfterALimitIsStatedAreABurst() {
        var limit: Double? = null
        val load = RateLimitedLoad(PlainLoad(6)) { limit }
        assertTrue(load.hasRoom(0, 1.0))
        limit = 2.0
        assertFalse(load.hasRoom(60_000, 1.0))
        assertEquals(500.0, load.expectedWaitMillis(60_000))
        assertTrue(load.hasRoom(60_500, 1.0))
        load.sent(60_500, "request", 1.0)
        assertFalse(load.hasRoom(60_550, 1.0))
        limit = null
        assertTrue(load.hasRoom(60_700, 1.0))
    }

    @Test
    fun aLimitEndsWithTheFirstResponseWithoutIt() {
        limits.record(1_000, "engine", 4.0, "a")
        assertEquals(4.0, limits.limitOf("engine"))
        assertEquals(RateLimitChange("engine", null), limits.record(2_000, "engine", null, "b"))
        assertNull(limits.limitOf("engine"))
    }

    @Test
    fun aResponseThatWasOvertakenEndsALimit() {
        limits.record(1_000, "engine", 4.0, "a")
        limits.record(1_020, "engine", null, "sent before the limit")
        assertEquals(4.0, limits.limitOf("engine"))
    }

    @Test
    fun hostsThatGotNoResponseKnowNoLimit() {
        val other = StatedRateLimits()
        val third = StatedRateLimits()
        limits.record(1_000, "engine", 4.0, "a")
        other.merge(1_010, limits.news(1_005))
        third.merge(1_400, other.news(1_390))
        assertEquals(4.0, third.limitOf("engine"))
        limits.record(3_000, "engine", null, "b")
        third.merge(3_010, limits.news(3_005))
        assertNull(third.limitOf("engine"))
        third.merge(3_400, other.news(3_390))
        assertNull(third.limitOf("engine"), "an older statement must not replace the end of the limit")
    }

    /** Overloaded engines may state another figure in each response. */
    @Test
    fun smallChangesOfALimitAreAnnouncedAgainAndAgain() {
        limits.record(1_000, "engine", 4.0, "a")
        assertNull(limits.record(1_100, "engine", 4.1, "b"))
        assertEquals(4.1, limits.limitOf("engine"))
        assertEquals(RateLimitChange("engine", 5.0), limits.record(1_200, "engine", 5.0, "c"))
    }

    /** More limits change at once than a message holds. */
    @Test
    fun someChangesOfLimitsAreNeverRelayed() {
        repeat(100) { limits.record(1_000, "engine-$it", 4.0, "request-$it") }
        val relayed = (1..4).flatMap { limits.news(1_000L + it) }.map { it.upstream }.toSet()
        assertEquals(100, relayed.size)
    }

    @Test
    fun aLimitThatDoesNotChangeIsRepeatedInEveryMessage() {
        limits.record(1_000, "engine", 4.0, "a")
        assertEquals(1, limits.news(2_000).size)
        limits.record(20_000, "engine", 4.0, "b")
        assertEquals(emptyList(), limits.news(20_100))
        limits.record(21_000, "engine", 3.0, "c")
        assertEquals(1, limits.news(21_100).size)
    }

    @Test
    fun upstreamsThatLeftAreForgotten() {
        limits.record(1_000, "engine@1", 4.0, "a")
        limits.retain(setOf("engine@2"))
        assertNull(limits.limitOf("engine@1"))
        assertEquals(emptyList(), limits.news(1_100))
    }

    private companion object {
        const val ROUNDING = 1e-9

        /** Returns the division of [limits] at each of the hosts whose parts of the demand are [fractions]. */
        fun divisionsOf(fractions: List<Double>, limits: () -> Map<String, Double>): List<RateLimitDivision> {
            val starts = fractions.runningFold(0.0, Double::plus)
            return fractions.mapIndexed { index, fraction ->
                RateLimitDivision({ fractions.size }, { DemandSegment(starts[index], fraction) }, limits)
            }
        }
    }
}
