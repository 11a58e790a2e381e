package buckthornbay.router.gateway

import arrow.fx.coroutines.resourceScope
import buckthornbay.testkit.platform.PlatformStoreServer
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests that hosts without peers know the prompt parts under which upstreams crash. */
class QuarantineStoreTest {
    @Test
    fun aPartIsForgottenWhenAllHostsRestart() = runBlocking {
        PlatformStoreServer().use { store ->
            GatewayFixture(store).use { first ->
                first.manifest()
                resourceScope {
                    gatewayProcess(first.settings, GatewayFixture.DEPLOYMENT)
                    repeat(3) { number -> assertEquals(502, first.crashNextEngine(number).status) }
                    GatewayFixture.awaitTrue("the part is stored") { store.names("quarantine") == setOf("bad0bad0") }
                }
            }
            GatewayFixture(store, "edge-2").use { restarted ->
                val engine = restarted.upstream("models-9", "models") { it.answer() }
                resourceScope {
                    gatewayProcess(restarted.settings, GatewayFixture.DEPLOYMENT)
                    restarted.awaitReady()
                    GatewayFixture.awaitTrue("the part is restored") { restarted.askWithCrashingPart("9").status == 503 }
                    val requestsBefore = engine.requests.size
                    assertEquals(503, restarted.askWithCrashingPart("10").status)
                    assertEquals(requestsBefore, engine.requests.size)
                    assertTrue(restarted.askWithCrashingPart("11").headers.getValue("retry-after").toDouble() > 60.0)
                }
            }
        }
    }

    @Test
    fun aHostThatReachesNoPeerSendsAQuarantinedPartAgainAndAgain() = runBlocking {
        PlatformStoreServer().use { store ->
            GatewayFixture(store).use { first ->
                first.manifest()
                GatewayFixture(store, "edge-2").use { alone ->
                    resourceScope {
                        gatewayProcess(first.settings, GatewayFixture.DEPLOYMENT)
                        gatewayProcess(alone.settings, GatewayFixture.DEPLOYMENT)
                        repeat(3) { number -> assertEquals(502, first.crashNextEngine(number).status) }
                        GatewayFixture.awaitTrue("the part is stored") { store.names("quarantine") == setOf("bad0bad0") }
                        assertEquals(502, alone.crashNextEngine(7).status)
                        val engine = alone.upstream("models-9", "models") { it.answer() }
                        alone.awaitReady()
                        GatewayFixture.awaitTrue("the part is known") { alone.askWithCrashingPart("9").status == 503 }
                        assertTrue(engine.requests.isEmpty())
                    }
                }
            }
        }
    }
}
