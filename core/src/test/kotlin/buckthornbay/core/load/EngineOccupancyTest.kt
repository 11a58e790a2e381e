package buckthornbay.core.load

import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.WireJson
import kotlinx.serialization.SerializationException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class EngineOccupancyTest {
    private val service = ServiceId("models")
    private val engines = List(4) { UpstreamId("engine-$it") }
    private val occupancy = EngineOccupancy { if (it == service) engines.associateWith { SLOTS } else emptyMap() }

    private fun waitAt(engine: Int, nowMillis: Long = 0) = occupancy.slotWaitMillis(nowMillis, service, engines[engine])

    private fun report(nowMillis: Long, source: String, vararg requests: Int) =
        occupancy.putSnapshot(nowMillis, source, RequestCounts.of(engines.zip(requests.toList()).toMap()))

    @Test
    fun requestsOfAllHostsMakeAnEngineFull() {
        report(0, "zone-a", 12, 2, 2, 2)
        assertEquals(0.0, waitAt(0), "12 requests for 16 slots")
        report(0, "zone-b", 40, 2, 2, 2)
        assertTrue(waitAt(0) > 0.0)
        assertEquals(0.0, waitAt(1))
    }

    /** All hosts get a report at about the same time, and would all send to the engine with the fewest requests. */
    @Test
    fun theEngineWithTheFewestRequestsIsNotPreferredToOthersThatAreNearlyAsEmpty() {
        report(0, "others", 60, 20, 24, 22)
        assertEquals(waitAt(1), waitAt(3))
        assertTrue(waitAt(0) > waitAt(1))
    }

    @Test
    fun requestsOfThisHostCountAtOnce() {
        report(0, "others", 16, 16, 16, 16)
        val before = waitAt(0)
        repeat(SLOTS) { occupancy.sent(engines[0]) }
        val after = waitAt(0, nowMillis = 30)
        assertTrue(after > before)
        repeat(SLOTS) { occupancy.ended(engines[0]) }
        assertTrue(waitAt(0, nowMillis = 60) < after)
    }

    @Test
    fun withoutRecentReportsNothingIsAssumedToWait() {
        repeat(SLOTS * 2) { occupancy.sent(engines[0]) }
        assertEquals(0.0, waitAt(0))
        report(0, "others", 40, 0, 0, 0)
        assertTrue(waitAt(0) > 0.0)
        assertEquals(0.0, waitAt(0, nowMillis = 5_000))
    }

    @Test
    fun anUnknownEngineHasNoWait() {
        report(0, "others", 40, 40, 40, 40)
        assertEquals(0.0, occupancy.slotWaitMillis(0, service, UpstreamId("unknown")))
        assertEquals(0.0, occupancy.slotWaitMillis(0, ServiceId("other"), engines[0]))
    }

    @Test
    fun countsSurviveTheWayToAPeer() {
        val counts = RequestCounts.of(engines.zip(listOf(0, 1, 255, 17)).toMap())
        assertEquals(counts, decode(WireJson.encodeToString(RequestCounts.serializer(), counts)))
        assertEquals(RequestCounts.NONE, decode(WireJson.encodeToString(RequestCounts.serializer(), RequestCounts.NONE)))
        val many = RequestCounts.of(mapOf(engines[0] to 1_000))
        assertEquals(255, decode(WireJson.encodeToString(RequestCounts.serializer(), many))[engines[0]])
    }

    @Test
    fun malformedCountsAreAnError() {
        for (text in listOf("\"AAA\"", "\"%\"", "\"AAAAAAA=\"")) assertFailsWith<SerializationException>(text) { decode(text) }
    }

    private fun decode(text: String) = WireJson.decodeFromString(RequestCounts.serializer(), text)

    private companion object {
        const val SLOTS = 16
    }
}
