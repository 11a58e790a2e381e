package buckthornbay.core.load

import buckthornbay.protocol.RegionId
import buckthornbay.protocol.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PlacementTest {
    private val here = RegionId("here")
    private val there = RegionId("there")
    private val placement = Placement(here)

    private fun engine(id: String, region: RegionId = here) =
        Candidate(UpstreamId(id), region, EngineLoad { 1.0 / 9 }, UpstreamReliability(), PrefixCacheModel())

    private fun plain(id: String, region: RegionId = here, slots: Int = 6) =
        Candidate(UpstreamId(id), region, PlainLoad(slots), UpstreamReliability(), cache = null)

    private fun brief(topic: String, own: String) =
        TokenDemand(11_000, 400, listOf(PromptPart("system", 500), PromptPart(topic, 4_900), PromptPart(own, 5_600)))

    private fun Placement.pick(
        candidates: List<Candidate>,
        demand: TokenDemand?,
        nowMillis: Long = 0,
        waitForBest: Boolean = false,
    ) = choose(nowMillis, candidates, demand, waitForBest)

    @Test
    fun allHostsPreferTheSameEngineForASharedPart() {
        val engines = List(8) { engine("engine-$it", if (it % 2 == 0) here else there) }
        for (topic in List(20) { "topic-$it" }) {
            val mine = Placement(here).pick(engines, brief(topic, "a"))
            val theirs = Placement(there).pick(engines.reversed(), brief(topic, "b"))
            assertEquals(mine?.upstream?.id, theirs?.upstream?.id, topic)
            assertTrue(mine!!.onPreferredEngine)
        }
    }

    @Test
    fun sharedPartsAreSpreadOverTheEngines() {
        val engines = List(8) { engine("engine-$it") }
        val chosen = List(200) { placement.pick(engines, brief("topic-$it", "own"))?.upstream?.id }
        val most = chosen.groupingBy { it }.eachCount().values.max()
        assertTrue(most < 60, "one engine is preferred for $most of 200 topics")
    }

    /** One topic becomes hot, and tokens pending prefill accumulate at its preferred engine. */
    @Test
    fun aHotPartSpillsOverWhenQueueingCostsMoreThanPrefill() {
        val engines = List(4) { engine("engine-$it") }
        val preferred = assertNotNull(placement.pick(engines, brief("hot", "a"))).upstream
        preferred.load.sent(0, "one", 14_000.0)
        preferred.load.sent(0, "two", 14_000.0)
        assertNotEquals(preferred.id, placement.pick(engines, brief("hot", "b"))?.upstream?.id)
    }

    @Test
    fun aRequestWaitsForItsPreferredEngineOnlyWithWaitForBest() {
        val engines = List(4) { engine("engine-$it") }
        val demand = TokenDemand(16_000, 400, listOf(PromptPart("long", 14_000), PromptPart("own", 2_000)))
        val preferred = assertNotNull(placement.pick(engines, demand)).upstream
        preferred.load.sent(0, "one", 9_000.0)
        assertNull(placement.pick(engines, demand, waitForBest = true))
        assertNotEquals(preferred.id, placement.pick(engines, demand, waitForBest = false)?.upstream?.id)
    }

    /** One topic exceeds the capacity of its preferred engine; without the copy each other engine prefills the part again. */
    @Test
    fun aHotPartIsCopiedFromTheEngineThatHasItCached() {
        val engines = List(4) { engine("engine-$it") }
        val preferred = assertNotNull(placement.pick(engines, brief("hot", "a"))).upstream
        preferred.cache?.recordPrefill(0, brief("hot", "a"))
        preferred.load.sent(0, "one", 14_000.0)
        val spilled = assertNotNull(placement.pick(engines, brief("hot", "b")))
        assertNotEquals(preferred.id, spilled.upstream.id)
        assertEquals(preferred, spilled.copyFrom)
        assertTrue(spilled.cost < 11_000 - 4_000, "the copied part is charged as prefill: ${spilled.cost}")
    }

    @Test
    fun aPartWithoutAKnownCacheHolderIsCopiedFromItsPreferredEngineAtAHigherCost() {
        val engines = List(4) { engine("engine-$it") }
        val preferred = assertNotNull(placement.pick(engines, brief("hot", "a"))).upstream
        preferred.load.sent(0, "one", 14_000.0)
        val unknown = assertNotNull(placement.pick(engines, brief("hot", "b")))
        assertEquals(preferred, unknown.copyFrom)
        preferred.cache?.recordPrefill(0, brief("hot", "a"))
        assertTrue(assertNotNull(placement.pick(engines, brief("hot", "b"))).cost < unknown.cost)
    }

    /** The most preferred engine was full when the part was first used, so that the second one has it cached. */
    @Test
    fun theTwoPreferredEnginesOfAPartCopyFromEachOther() {
        val engines = List(4) { engine("engine-$it") }
        val first = assertNotNull(placement.pick(engines, brief("hot", "a")))
        first.upstream.load.sent(0, "one", 14_000.0)
        val second = assertNotNull(placement.pick(engines, brief("hot", "b")))
        assertEquals(second.upstream, first.copyFrom)
        assertEquals(first.upstream, second.copyFrom)
    }

    @Test
    fun nothingIsCopiedIfThePartIsCachedOrShortOrItsEngineUnreachable() {
        val engines = List(4) { engine("engine-$it") }
        val preferred = assertNotNull(placement.pick(engines, brief("hot", "a"))).upstream
        preferred.cache?.recordPrefill(0, brief("hot", "a"))
        assertNull(placement.pick(engines, brief("hot", "a"))?.copyFrom, "cached")
        preferred.reliability.record(0, SendOutcome.UNREACHABLE)
        assertNotEquals(preferred, placement.pick(engines, brief("hot", "b"))?.copyFrom, "unreachable")
        val short = TokenDemand(600, 40, listOf(PromptPart("short", 200), PromptPart("own", 400)))
        val shortPreferred = assertNotNull(placement.pick(engines, short)).upstream
        shortPreferred.load.sent(0, "two", 14_000.0)
        assertNull(placement.pick(engines, short)?.copyFrom, "short")
    }

    @Test
    fun plainRequestsStayInTheRegionUntilItsUpstreamIsFull() {
        val near = plain("near")
        val far = plain("far", there)
        assertEquals(near, placement.pick(listOf(far, near), demand = null)?.upstream)
        repeat(9) { near.load.sent(0, "request-$it", 1.0) }
        assertEquals(far, placement.pick(listOf(far, near), demand = null)?.upstream)
    }

    @Test
    fun aFailingUpstreamIsAvoidedAndRetriedLater() {
        val failing = plain("failing")
        val healthy = plain("healthy", there)
        repeat(5) { failing.reliability.record(0, SendOutcome.FAILED) }
        assertEquals(healthy, placement.pick(listOf(failing, healthy), demand = null)?.upstream)
        assertEquals(failing, placement.pick(listOf(failing, healthy), demand = null, nowMillis = 6_000)?.upstream)
    }

    @Test
    fun anUnreachableUpstreamIsSkippedUntilItsBackoffEnds() {
        val gone = plain("gone")
        gone.reliability.record(0, SendOutcome.UNREACHABLE)
        assertNull(placement.pick(listOf(gone), demand = null, nowMillis = 100))
        assertEquals(gone, placement.pick(listOf(gone), demand = null, nowMillis = 600)?.upstream)
    }
}
