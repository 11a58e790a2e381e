package buckthornbay.core.chart

import buckthornbay.core.request.RequestEvent
import buckthornbay.core.request.RequestState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull
import kotlin.test.assertTrue

class StateChartTest {
    private enum class Lamp { OFF, ON, BROKEN }

    private enum class Press { SWITCH, DROP }

    private fun parse(text: String) = parseChart("lamp", text, Lamp.entries, Press.entries)

    private val good = """
        initial = "OFF"
        final = ["BROKEN"]
        [[transitions]]
        from = "OFF"
        on = "SWITCH"
        to = "ON"
        [[transitions]]
        from = "ON"
        on = "SWITCH"
        to = "OFF"
        [[transitions]]
        from = "ON"
        on = "DROP"
        to = "BROKEN"
    """.trimIndent()

    @Test
    fun transitionsFollowTheChartFile() {
        val chart = parse(good)
        assertEquals(Lamp.ON, chart.next(Lamp.OFF, Press.SWITCH))
        assertNull(chart.next(Lamp.OFF, Press.DROP))
        assertTrue(chart.isFinal(Lamp.BROKEN))
    }

    @Test
    fun anInvalidChartIsRejectedWithTheReason() {
        val cases = mapOf(
            good.replace("to = \"BROKEN\"", "to = \"OFF\"") to "unreachable",
            good.replace("final = [\"BROKEN\"]", "final = []") to "must either be final or have transitions",
            good.replace("on = \"DROP\"", "on = \"SWITCH\"") to "more than one transition",
            good.replace("from = \"OFF\"", "from = \"DIM\"") to "unknown state DIM",
            good.replace("on = \"DROP\"", "on = \"KICK\"") to "unknown event KICK",
        )
        for ((text, reason) in cases) {
            val error = assertFailsWith<IllegalStateException> { parse(text) }
            assertTrue(reason in error.message.orEmpty(), "expected '$reason' in '${error.message}'")
        }
    }

    @Test
    fun theRequestChartLoads() {
        assertEquals(RequestState.RECEIVED, loadChart("request", RequestState.entries, RequestEvent.entries).initial)
    }
}
