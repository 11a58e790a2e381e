package buckthornbay.router.gateway

import arrow.fx.coroutines.resourceScope
import buckthornbay.core.KnownRed
import buckthornbay.testkit.platform.CrashingPart
import buckthornbay.testkit.platform.EngineBehavior
import buckthornbay.testkit.platform.EngineFleet
import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.buildRegistration
import buckthornbay.testkit.platform.tokenCountHeader
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.extension.ExtendWith
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Tests a fleet whose callers send a prompt part that crashes each engine, among sound requests with the same first part. */
@ExtendWith(KnownRed::class)
class CrashingPromptPartTest {
    private class Outcome(val atNanos: Long, val served: Boolean)

    /** Callers of three hosts before six engines, which come back under a new id some time after a crash. */
    private class Fleet(private val store: PlatformStoreServer, seed: Long) : AutoCloseable {
        private val random = Random(seed)
        private val sequence = AtomicInteger()
        val part = CrashingPart("bad0bad0")
        val sound = ConcurrentLinkedQueue<Outcome>()
        val hosts = ArrayList<GatewayFixture>()
        private val engines = EngineFleet(part, ::crashed)
        private val names = HashMap<String, String>()
        private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)

        init {
            repeat(HOSTS) { number ->
                hosts += GatewayFixture(store, "edge-$number", seeds = hosts.take(1).map { it.settings.listen.control })
            }
            hosts.first().manifest()
        }

        suspend fun start() {
            repeat(ENGINES) { startEngine() }
            hosts.forEach { it.awaitReady() }
        }

        private fun startEngine() {
            val name = "models-${sequence.incrementAndGet()}"
            val engine = engines.start(BEHAVIOR)
            synchronized(names) { names[engine.address] = name }
            store.put("servers", name, buildRegistration("models", engine.address))
        }

        private fun crashed(address: String) {
            val name = synchronized(names) { names.getValue(address) }
            scope.launch {
                delay(RESTART_MILLIS)
                startEngine()
                delay(EXPIRY_MILLIS - RESTART_MILLIS)
                store.remove("servers", name)
            }
        }

        /** Sends sound requests one after the other at random hosts until the job is cancelled. */
        fun soundCaller(): Job = scope.launch {
            while (isActive) {
                val sentNanos = System.nanoTime()
                sound += Outcome(sentNanos, ask("7e57%04x".format(randomBelow(TOPICS))) == OK)
                delay(SOUND_PAUSE_MILLIS)
            }
        }

        /** Sends requests with the crashing part at random hosts, each once more after a failure, until the job is cancelled. */
        fun crashingCallers(): Job = scope.launch {
            while (isActive) {
                launch { if (ask(part.id) != OK) ask(part.id) }
                delay(CRASHING_PERIOD_MILLIS)
            }
        }

        private fun ask(secondPart: String): Int {
            val number = sequence.incrementAndGet()
            val parts = "X-Buckthornbay-Prefix-Hash: 5c1e07a2:100,$secondPart:300,${"%08x".format(number)}:400\r\n"
            val more = parts + tokenCountHeader(PROMPT_TOKENS, answerTokens = 10)
            val path = if (number % 2 == 0) "/stream/x" else "/once/x"
            val answer = hosts[randomBelow(HOSTS)].call(request(path, "id-$number", method = "POST", body = "a", more = more))
            return if (answer.complete) answer.status else 0
        }

        private fun randomBelow(bound: Int) = synchronized(random) { random.nextInt(bound) }

        override fun close() {
            scope.cancel()
            engines.close()
            hosts.forEach { it.close() }
        }
    }

    /** Incident BUDGET: the part reached engines 18 times after the fifth crash. */
    @Test
    fun aPartThatCrashesEnginesIsSentOnAfterTheFifthCrash() = play { fleet ->
        val fifthNanos = fleet.part.crashesNanos[CRASHES_TO_LEARN_FROM - 1]
        val late = fleet.part.arrivalsNanos.count { it > fifthNanos + CONTACT_NANOS }
        val crashes = fleet.part.crashesNanos.size
        assertTrue(late <= MAX_LATE_REQUESTS, "$late requests with the part reached engines late; $crashes engines crashed")
    }

    /** Incident LOST: what shares its caller and its first part with the crashing requests must still be served. */
    @Test
    fun soundRequestsWithTheSameFirstPartAreServedWhileAPartCrashesEngines() = play { fleet ->
        val firstNanos = fleet.part.crashesNanos.first()
        val fifthNanos = fleet.part.crashesNanos.getOrElse(CRASHES_TO_LEARN_FROM - 1) { fleet.part.crashesNanos.last() }
        val before = servedFraction(fleet.sound.filter { it.atNanos < firstNanos - CONTACT_NANOS / 6 })
        val after = servedFraction(fleet.sound.filter { it.atNanos > fifthNanos + 2 * CONTACT_NANOS })
        assertTrue(after >= before / 2, "served before: $before, while the part is still sent: $after")
    }

    private fun servedFraction(outcomes: List<Outcome>): Double {
        assertTrue(outcomes.size >= 20, "only ${outcomes.size} requests")
        return outcomes.count { it.served }.toDouble() / outcomes.size
    }

    private fun play(check: (Fleet) -> Unit) = runBlocking {
        PlatformStoreServer().use { store ->
            Fleet(store, SEED).use { fleet ->
                resourceScope {
                    fleet.hosts.forEach { gatewayProcess(it.settings, GatewayFixture.DEPLOYMENT) }
                    fleet.start()
                    val jobs = List(SOUND_CALLERS) { fleet.soundCaller() }
                    delay(CALM_MILLIS)
                    val crashing = fleet.crashingCallers()
                    delay(CRASHING_MILLIS)
                    (jobs + crashing).forEach { it.cancel() }
                    jobs.forEach { it.join() }
                }
                check(fleet)
            }
        }
    }

    private companion object {
        const val SEED = 1L
        const val OK = 200
        const val HOSTS = 3
        const val ENGINES = 6
        const val TOPICS = 20
        const val SOUND_CALLERS = 40
        const val SOUND_PAUSE_MILLIS = 50L
        const val PROMPT_TOKENS = 1_400
        const val CRASHING_PERIOD_MILLIS = 300L
        const val CALM_MILLIS = 2_000L
        const val CRASHING_MILLIS = 12_000L

        /** The operator's rule: three more requests from this time after the fifth crash. */
        const val CONTACT_NANOS = 3_000_000_000L
        const val CRASHES_TO_LEARN_FROM = 5
        const val MAX_LATE_REQUESTS = 3

        /** Time until a crashed engine is replaced, and until its registration expires. */
        const val RESTART_MILLIS = 1_500L
        const val EXPIRY_MILLIS = 3_600L
        val BEHAVIOR = EngineBehavior(slots = 64, events = 20, eventMillis = 30)
    }
}
