package buckthornbay.core.registry

import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.UpstreamId
import buckthornbay.protocol.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals

class UpstreamRegistryTest {
    private val service = ServiceId("models")
    private val registry = UpstreamRegistry()

    private fun entry(id: String, draining: Boolean = false, startedAt: Long = 1_000, sequence: Long = 1) =
        UpstreamEntry(UpstreamId(id), service, "10.0.0.1:80", ZoneId("zone"), slots = 4, draining, startedAt, sequence)

    private fun usable() = registry.usable(service).map { it.id.value }

    @Test
    fun drainingUpstreamIsNotUsable() {
        registry.put(entry("a"), revision = 1)
        registry.put(entry("a", draining = true, sequence = 2), revision = 2)
        assertEquals(emptyList(), usable())
    }

    @Test
    fun delayedWriteDoesNotReviveADrainingUpstream() {
        registry.put(entry("a", draining = true, sequence = 5), revision = 5)
        registry.put(entry("a", sequence = 4), revision = 6)
        assertEquals(emptyList(), usable())
        registry.removed(nowMillis = 0, UpstreamId("a"), revision = 7)
        registry.put(entry("a", sequence = 4), revision = 8)
        assertEquals(emptyList(), usable())
        registry.put(entry("a", startedAt = 2_000), revision = 9)
        assertEquals(listOf("a"), usable(), "a new incarnation under the same id is usable")
    }

    /**
     * A departed upstream may receive new requests for at most 2,500 ms. The grace period leaves one second of that for
     * propagating the removal and for requests in transit.
     */
    @Test
    fun upstreamThatDisappearsWithoutDrainingIsUsableForTheGracePeriodOnly() {
        registry.put(entry("a"), revision = 1)
        registry.removed(nowMillis = 10_000, UpstreamId("a"), revision = 2)
        registry.expire(nowMillis = 11_499)
        assertEquals(listOf("a"), usable())
        registry.expire(nowMillis = 11_500)
        assertEquals(emptyList(), usable())
    }

    @Test
    fun registrationRenewedWithinTheGracePeriodIsKept() {
        registry.put(entry("a"), revision = 1)
        registry.removed(nowMillis = 10_000, UpstreamId("a"), revision = 2)
        registry.put(entry("a", sequence = 2), revision = 3)
        registry.expire(nowMillis = 20_000)
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun registrationsThatExpireInAnOutageAreKeptForTheGracePeriod() {
        registry.put(entry("lives"), revision = 1)
        registry.put(entry("gone"), revision = 2)
        registry.storeLost()
        registry.storeRegained(nowMillis = 10_000)
        registry.replaceAll(nowMillis = 10_000, entries = emptyList(), revision = 3)
        assertEquals(listOf("lives", "gone"), usable())
        registry.put(entry("lives", sequence = 9), revision = 4)
        registry.expire(nowMillis = 11_900)
        assertEquals(listOf("lives", "gone"), usable())
        registry.expire(nowMillis = 12_000)
        assertEquals(listOf("lives"), usable())
    }

    @Test
    fun drainingUpstreamThatDisappearsInAnOutageIsRemoved() {
        registry.put(entry("a", draining = true), revision = 1)
        registry.storeLost()
        registry.removed(nowMillis = 0, UpstreamId("a"), revision = 2)
        assertEquals(0, registry.all().size)
    }

    @Test
    fun olderListIsIgnored() {
        registry.put(entry("a"), revision = 10)
        registry.replaceAll(nowMillis = 0, entries = emptyList(), revision = 9)
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun anUpstreamWhoseRegistrationIsGoneIsLeaving() {
        registry.put(entry("a"), revision = 1)
        assertEquals(false, registry.isLeaving(nowMillis = 9_000, entry("a")))
        registry.removed(nowMillis = 10_000, UpstreamId("a"), revision = 2)
        assertEquals(true, registry.isLeaving(nowMillis = 10_000, entry("a")))
        registry.expire(nowMillis = 12_000)
        assertEquals(true, registry.isLeaving(nowMillis = 12_000, entry("a")))
    }

    /** Registrations expire while the store is unavailable, also those of upstreams that crash then. */
    @Test
    fun anUpstreamWhoseRegistrationGoesAroundAnOutageIsTakenForLeaving() {
        registry.put(entry("a"), revision = 1)
        registry.storeLost()
        registry.removed(nowMillis = 10_000, UpstreamId("a"), revision = 2)
        assertEquals(false, registry.isLeaving(nowMillis = 10_000, entry("a")))
        registry.storeRegained(nowMillis = 11_000)
        assertEquals(false, registry.isLeaving(nowMillis = 12_999, entry("a")))
        assertEquals(true, registry.isLeaving(nowMillis = 13_000, entry("a")))
    }

    @Test
    fun onlyALaterIncarnationIsARestart() {
        registry.put(entry("a"), revision = 1)
        assertEquals(false, registry.hasRestarted(entry("a", sequence = 7)))
        registry.put(entry("a", startedAt = 2_000), revision = 2)
        assertEquals(listOf(true, false), listOf(entry("a"), entry("a", startedAt = 2_000)).map(registry::hasRestarted))
    }
}
