package buckthornbay.router

import kotlin.test.Test
import kotlin.test.assertEquals

class FreePortsTest {
    /** A fixture of several hosts got the same port for two of them, and the second one ended with 'Address already in use'. */
    @Test
    fun portsOfSeparateCallsDiffer() {
        val ports = List(CALLS) { freeLoopbackPorts(PORTS_PER_CALL) }.flatten()
        assertEquals(CALLS * PORTS_PER_CALL, ports.toSet().size)
    }

    private companion object {
        const val CALLS = 500
        const val PORTS_PER_CALL = 4
    }
}
