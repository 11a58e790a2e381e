package buckthornbay.router.gateway

import arrow.fx.coroutines.resourceScope
import buckthornbay.router.freeLoopbackPorts
import buckthornbay.testkit.platform.PlatformStoreServer
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests that a fleet in which few hosts watch the store doesn't depend on those few. */
class StoreWatchersTest {
    /**
     * The store rejects the hosts that watch it and serves the others, when the configuration changes.
     *
     * Guards against hosts that go on with an old configuration because the last contact of any host with the store is recent.
     */
    @Test
    fun allHostsApplyAConfigurationWhileTheStoreRejectsItsWatchers() = runBlocking {
        PlatformStoreServer(addressCount = HOSTS).use { store ->
            // All ports are chosen together, so that no two hosts get the same one.
            val ports = freeLoopbackPorts(HOSTS * GatewayFixture.PORT_COUNT).chunked(GatewayFixture.PORT_COUNT)
            val first = GatewayFixture(store, ports = ports.first())
            val seeds = listOf(first.settings.listen.control)
            val others =
                List(HOSTS - 1) { GatewayFixture(store, "edge-${it + 2}", seeds, store.addresses[it + 1], ports[it + 1]) }
            val fleet = listOf(first) + others
            first.manifest()
            first.upstream("plain-1", "plain") { it.answer() }
            resourceScope {
                fleet.forEach { gatewayProcess(it.settings, GatewayFixture.DEPLOYMENT) }
                fleet.forEach { host -> GatewayFixture.awaitTrue("the host is ready", 10_000) { host.read() == 200 } }
                store.faults.busyAddresses = settledWatchers(store)
                delay(100)
                first.manifest { if (it.name == "read") it.copy(pathPrefix = "/lesen/") else it }
                delay(CONFIGURATION_MILLIS)
                assertEquals(emptyList(), fleet.filter { it.read() != 404 }.map { it.settings.host.value })
            }
            fleet.forEach { it.close() }
        }
    }

    private fun GatewayFixture.read() = call(request("/read/x")).status

    /** Waits until few hosts watch the store, and returns their addresses. */
    private suspend fun settledWatchers(store: PlatformStoreServer): Set<String> {
        var watchers = emptySet<String>()
        GatewayFixture.awaitTrue("few hosts watch the store", limitMillis = 20_000) {
            val seen = HashSet<String>()
            repeat(50) {
                seen += store.watchedAddresses
                delay(20)
            }
            watchers = seen
            seen.isNotEmpty() && seen.size <= MAX_WATCHERS
        }
        return watchers
    }

    private companion object {
        /** One host more than a fleet in which all hosts watch. */
        const val HOSTS = 13
        const val MAX_WATCHERS = 4

        /** Time within which all hosts must apply a configuration, in milliseconds; that of the settings by default. */
        const val CONFIGURATION_MILLIS = 2_500L
    }
}
