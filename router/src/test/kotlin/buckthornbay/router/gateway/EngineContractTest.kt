package buckthornbay.router.gateway

import buckthornbay.testkit.platform.CallerAnswer
import buckthornbay.testkit.platform.EngineBehavior
import buckthornbay.testkit.platform.EngineFleet
import buckthornbay.testkit.platform.PlatformEngineServer
import buckthornbay.testkit.platform.tokenCountHeader
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests the gateway with engines that prefill several prompts in interleaved chunks and cache shared prompt parts. */
class EngineContractTest {
    private fun run(
        engines: Int,
        behavior: EngineBehavior = EngineBehavior(),
        test: suspend GatewayFixture.(List<PlatformEngineServer>) -> Unit,
    ) = GatewayFixture.run {
        EngineFleet().use { fleet ->
            val started = List(engines) { number ->
                fleet.start(behavior).also { register("models-$number", "models", it.address) }
            }
            awaitReady()
            test(started)
        }
    }

    private fun GatewayFixture.ask(own: String, promptTokens: Int = 6_000, path: String = "/stream/x"): CallerAnswer {
        val more = "X-Buckthornbay-Prefix-Hash: 5c1e07a2:5000,$own:400\r\n" + tokenCountHeader(promptTokens, answerTokens = 10)
        return call(request(path, "id-$own", method = "POST", body = "a", more = more))
    }

    @Test
    fun sharedPromptPartIsPrefilledOnceWhileItsEngineHasRoom() = run(engines = 3) { engines ->
        listOf("a1", "a2", "a3").forEach { own ->
            assertEquals(200, ask(own).status)
            delay(RATE_LIMIT_MILLIS)
        }
        assertEquals(6_000L + 2 * 1_000, engines.sumOf { it.prefilledTokens })
    }

    @Test
    fun sharedPromptPartIsCopiedWhenItsEngineIsFull() = run(engines = 2) { engines ->
        assertEquals(200, ask("b1").status)
        coroutineScope {
            val long = async(Dispatchers.IO) { ask("b2", promptTokens = 35_000) }
            GatewayFixture.awaitTrue("the long request arrived") { engines.any { it.requests.size == 2 } }
            assertEquals(200, ask("b3", promptTokens = 11_000).status)
            assertEquals(200, long.await().status)
        }
        assertEquals(5_000L, engines.sumOf { it.copiedTokens })
        assertEquals(6_000L + 30_000 + 6_000, engines.sumOf { it.prefilledTokens })
    }

    @Test
    fun streamResumesAtAnotherEngineAfterAFailure() = run(engines = 2) { engines ->
        engines.forEach { it.faults.breaksStreams = true }
        coroutineScope {
            val answer = async(Dispatchers.IO) { ask("c1") }
            GatewayFixture.awaitTrue("the request arrived") { engines.any { it.requests.isNotEmpty() } }
            engines.first { it.requests.isEmpty() }.faults.breaksStreams = false
            assertTrue(answer.await().complete)
        }
    }

    @Test
    fun requestRejectedByOneEngineIsServedByAnother() = run(engines = 2) { engines ->
        engines.first().faults.rejects = true
        val answers = coroutineScope { List(6) { number -> async(Dispatchers.IO) { ask("d$number", 600) } }.awaitAll() }
        assertEquals(List(6) { 200 }, answers.map { it.status })
    }

    private companion object {
        /** Time after which the gateway's rate limit for an engine admits another request, in milliseconds. */
        const val RATE_LIMIT_MILLIS = 150L
    }
}
