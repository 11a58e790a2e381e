package buckthornbay.router.gateway

import arrow.fx.coroutines.resourceScope
import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.ScriptedUpstream
import buckthornbay.testkit.platform.tokenCountHeader
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests that hosts without peers know the prompt parts under which upstreams crash. */
class QuarantineStoreTest {
    private fun GatewayFixture.ask(id: String) = call(
        request(
            "/once/x",
            id,
            method = "POST",
            body = "a",
            more = "X-Buckthornbay-Prefix-Hash: 5c1e07a2:100,bad0bad0:300,$id:400\r\n" + tokenCountHeader(900, answerTokens = 10),
        ),
    )

    @Test
    fun aPartIsForgottenWhenAllHostsRestart() = runBlocking {
        PlatformStoreServer().use { store ->
            GatewayFixture(store).use { first ->
                first.manifest()
                resourceScope {
                    gatewayProcess(first.settings, GatewayFixture.DEPLOYMENT)
                    repeat(3) { number -> crashNextEngine(first, number) }
                    GatewayFixture.awaitTrue("the part is stored") { store.names("quarantine") == setOf("bad0bad0") }
                }
            }
            GatewayFixture(store, "edge-2").use { restarted ->
                val engine = restarted.upstream("models-9", "models") { it.answer() }
                resourceScope {
                    gatewayProcess(restarted.settings, GatewayFixture.DEPLOYMENT)
                    restarted.awaitReady()
                    GatewayFixture.awaitTrue("the part is restored") { restarted.ask("9").status == 503 }
                    val requestsBefore = engine.requests.size
                    assertEquals(503, restarted.ask("10").status)
                    assertEquals(requestsBefore, engine.requests.size)
                    assertTrue(restarted.ask("11").headers.getValue("retry-after").toDouble() > 60.0)
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
                        repeat(3) { number -> crashNextEngine(first, number) }
                        GatewayFixture.awaitTrue("the part is stored") { store.names("quarantine") == setOf("bad0bad0") }
                        crashNextEngine(alone, 7)
                        val engine = alone.upstream("models-9", "models") { it.answer() }
                        alone.awaitReady()
                        GatewayFixture.awaitTrue("the part is known") { alone.ask("9").status == 503 }
                        assertTrue(engine.requests.isEmpty())
                    }
                }
            }
        }
    }

    private suspend fun crashNextEngine(host: GatewayFixture, number: Int) {
        lateinit var engine: ScriptedUpstream
        engine = host.upstream("models-$number", "models") { engine.close() }
        host.awaitReady()
        assertEquals(502, host.ask("$number").status)
        host.store.remove("servers", "models-$number")
        GatewayFixture.awaitTrue("the registration is gone") { host.ask("gone-$number").status == 503 }
    }
}
