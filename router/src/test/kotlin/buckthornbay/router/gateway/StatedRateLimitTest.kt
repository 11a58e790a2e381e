package buckthornbay.router.gateway

import arrow.fx.coroutines.resourceScope
import buckthornbay.core.KnownRed
import buckthornbay.testkit.platform.EngineBehavior
import buckthornbay.testkit.platform.EngineFleet
import buckthornbay.testkit.platform.PlatformEngineServer
import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.buildRegistration
import buckthornbay.testkit.platform.tokenCountHeader
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.extension.ExtendWith
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Tests three hosts before four engines, one of which states how many requests per second it takes from all hosts together. */
@ExtendWith(KnownRed::class)
class StatedRateLimitTest {
    private val sequence = AtomicInteger()

    /** Incident LIMIT: an engine that had named a limit of 9.8 a second got 81 requests in 4 s. */
    @Test
    fun anEngineGetsMoreRequestsThanTheLimitThatItStates() = play { limited ->
        val counts = arrivalsOf(limited, RUN_MILLIS)
        val busiest = counts.drop(CONTACT_MILLIS / SAMPLE_MILLIS).windowed(WINDOW_MILLIS / SAMPLE_MILLIS) {
            it.last() - it.first()
        }.max()
        val allowed = MAX_EXCESS * LIMIT * WINDOW_SECONDS + SLACK_REQUESTS
        assertTrue(busiest <= allowed, "$busiest requests in $WINDOW_SECONDS s, allowed $allowed")
        val settled = counts.last() - counts[CONTACT_MILLIS / SAMPLE_MILLIS]
        val offered = LIMIT * (RUN_MILLIS - CONTACT_MILLIS) / 1_000
        assertTrue(settled >= offered / 2, "only $settled of $offered requests that the engine takes")
    }

    /** The engine has room again as soon as its responses don't state a limit any more. */
    @Test
    fun aLimitThatIsNoLongerStatedStillHolds() = play { limited ->
        arrivalsOf(limited, CONTACT_MILLIS)
        limited.faults.statedLimit = null
        delay(CONTACT_MILLIS.toLong())
        val counts = arrivalsOf(limited, WINDOW_MILLIS)
        val arrived = counts.last() - counts.first()
        assertTrue(arrived > MAX_EXCESS * LIMIT * WINDOW_SECONDS, "$arrived requests in $WINDOW_SECONDS s")
    }

    /** Returns the number of requests that [engine] has received, every [SAMPLE_MILLIS] for [millis] milliseconds. */
    private suspend fun arrivalsOf(engine: PlatformEngineServer, millis: Int): List<Int> =
        List(millis / SAMPLE_MILLIS + 1) { engine.requests.size.also { delay(SAMPLE_MILLIS.toLong()) } }

    private fun play(test: suspend (PlatformEngineServer) -> Unit) = runBlocking {
        PlatformStoreServer().use { store ->
            EngineFleet().use { engines ->
                val hosts = ArrayList<GatewayFixture>()
                repeat(HOSTS) { hosts += GatewayFixture(store, "edge-$it", hosts.take(1).map { it.settings.listen.control }) }
                hosts.first().manifest()
                val started = List(ENGINES) { number ->
                    engines.start(BEHAVIOR).also {
                        store.put("servers", "models-$number", buildRegistration("models", it.address))
                    }
                }
                resourceScope {
                    hosts.forEach { gatewayProcess(it.settings, GatewayFixture.DEPLOYMENT) }
                    hosts.forEach { it.awaitReady() }
                    val callers = launchCallers(hosts)
                    delay(CALM_MILLIS)
                    started.first().faults.statedLimit = LIMIT
                    try {
                        test(started.first())
                    } finally {
                        callers.forEach { it.cancel() }
                        callers.joinAll()
                    }
                }
            }
        }
    }

    private fun CoroutineScope.launchCallers(hosts: List<GatewayFixture>) = List(CALLERS) { number ->
        val random = Random(number)
        launch(Dispatchers.IO) {
            while (isActive) {
                val own = sequence.incrementAndGet()
                val parts = "X-Buckthornbay-Prefix-Hash: 7e57%04x:300,%08x:400\r\n".format(random.nextInt(TOPICS), own)
                val more = parts + tokenCountHeader(PROMPT_TOKENS, answerTokens = 10)
                hosts[random.nextInt(HOSTS)].call(request("/stream/x", "id-$own", method = "POST", body = "a", more = more))
                delay(PAUSE_MILLIS)
            }
        }
    }

    private companion object {
        const val HOSTS = 3
        const val ENGINES = 4
        const val TOPICS = 40
        const val CALLERS = 32
        const val PAUSE_MILLIS = 100L
        const val PROMPT_TOKENS = 1_000
        const val CALM_MILLIS = 1_500L
        const val RUN_MILLIS = 9_000
        const val SAMPLE_MILLIS = 100

        /** The operator's rule: one and a half times the limit and five requests in four seconds, from this time on. */
        const val CONTACT_MILLIS = 3_000
        const val WINDOW_MILLIS = 4_000
        const val WINDOW_SECONDS = 4
        const val MAX_EXCESS = 1.5
        const val SLACK_REQUESTS = 5
        const val LIMIT = 4.0
        val BEHAVIOR = EngineBehavior(slots = 64, events = 10, eventMillis = 20)
    }
}
