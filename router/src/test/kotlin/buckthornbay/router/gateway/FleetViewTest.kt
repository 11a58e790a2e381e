package buckthornbay.router.gateway

import buckthornbay.core.Clock
import buckthornbay.core.registry.UpstreamRegistry
import buckthornbay.platform.PlatformFormat
import buckthornbay.store.CollectionChange
import buckthornbay.store.CollectionObject
import buckthornbay.testkit.platform.buildRegistration
import kotlin.test.Test
import kotlin.test.assertEquals

class FleetViewTest {
    private val clock = Clock { 0 }
    private val view = FleetView(PlatformFormat, UpstreamRegistry(), clock, DecisionLog(clock)) {}

    private fun put(state: String, sequence: Int): CollectionChange {
        val registration = buildRegistration("plain", "127.0.0.1:1", state, sequence, startedAtMillis = 1_000)
        return CollectionChange.Put(CollectionObject("plain-1", registration))
    }

    /** A watch that another call has overtaken may still be answered; peers must not get what it says. */
    @Test
    fun changesUpToAnOlderRevisionReachNeitherThisHostNorItsPeers() {
        view.replaceRegistrations(emptyList(), revision = 1, source = "test")
        view.applyRegistrations(listOf(put("draining", sequence = 2)), revision = 9)
        val known = view.registrationsSince(0)
        view.applyRegistrations(listOf(put("ready", sequence = 1)), revision = 8)
        assertEquals(known, view.registrationsSince(0))
        assertEquals(9, view.registryRevision)
    }
}
