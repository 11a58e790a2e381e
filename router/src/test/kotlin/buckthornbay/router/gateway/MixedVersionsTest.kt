package buckthornbay.router.gateway

import arrow.fx.coroutines.resourceScope
import buckthornbay.core.KnownRed
import buckthornbay.testkit.platform.CallerAnswer
import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.ScriptedExchange
import buckthornbay.testkit.platform.ScriptedUpstream
import buckthornbay.testkit.platform.callerRequest
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.extension.ExtendWith
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Streams whose upstream fails while upstreams of another version serve; what two versions write doesn't fit together. */
@ExtendWith(KnownRed::class)
class MixedVersionsTest {
    /** Held by the first upstream of a stream after [BREAK_AFTER] events, until it may break off. */
    private val mayBreak = CountDownLatch(1)

    private fun ScriptedExchange.head() =
        write("HTTP/1.1 200 OK\r\n${requiredHeaders()}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")

    private fun ScriptedExchange.events(numbers: IntRange) {
        for (text in numbers.map(::event)) write("${text.length.toString(radix = 16)}\r\n$text\r\n")
    }

    /** Begins a stream and breaks it off; takes none up. */
    private fun ScriptedExchange.beginAndBreak() {
        if (request.header("Last-Event-Id") != null) return reset()
        head()
        events(1..BREAK_AFTER)
        mayBreak.await(LIMIT_SECONDS, TimeUnit.SECONDS)
        reset()
    }

    /** Answers from the event after the one that the request names. */
    private fun ScriptedExchange.goOn() {
        head()
        events((request.header("Last-Event-Id")?.toInt() ?: 0) + 1..LAST_EVENT)
        write("0\r\n\r\n")
    }

    /** Sends a request with the id "first" and returns its connection when the events before the break have arrived. */
    private fun GatewayFixture.begin(): CallerSocket = caller().also { caller ->
        caller.send(callerRequest("/stream/x", "first", "key-1", method = "POST", body = "a", remainingMillis = CALLER_MILLIS))
        assertTrue(caller.readUntil(event(BREAK_AFTER), LIMIT_MILLIS).endsWith(event(BREAK_AFTER)), "the stream begins")
    }

    private fun GatewayFixture.takeUp(id: String, resumes: String = "first"): CallerAnswer = call(
        request(
            "/stream/x",
            id = id,
            method = "POST",
            body = "a",
            more = "Resumes: $resumes\r\nLast-Event-Id: $BREAK_AFTER\r\n",
        ),
    )

    private fun assertNotTakenUp(answer: CallerAnswer, vararg others: ScriptedUpstream) {
        assertEquals(503, answer.status, answer.body)
        assertTrue(others.all { upstream -> upstream.requests.none { it.header("Last-Event-Id") != null } })
    }

    private fun assertTakenUp(answer: CallerAnswer) {
        assertEquals(200 to REST, answer.status to answer.body)
        assertTrue(answer.complete)
    }

    /** The router itself resumed a broken stream at an upstream of another version, within one response. */
    @Test
    fun aResponseGoesOnAtAnotherVersion() = GatewayFixture.run {
        engineOf("v1", "models-1") { it.beginAndBreak() }
        awaitReady()
        val caller = begin()
        val other = engineOf("v2", "models-2") { it.goOn() }
        awaitReady()
        mayBreak.countDown()
        assertEquals("", caller.readUntil(event(LAST_EVENT), LIMIT_MILLIS).substringAfter("\r\n"), "the stream is broken off")
        assertTrue(other.requests.isEmpty())
    }

    @Test
    fun aResponseDoesNotGoOnAtAnotherUpstreamOfItsVersion() = GatewayFixture.run {
        engineOf("v1", "models-1") { it.beginAndBreak() }
        awaitReady()
        val caller = begin()
        val other = engineOf("v2", "models-2") { it.goOn() }
        val same = engineOf("v1", "models-3") { it.goOn() }
        awaitReady()
        mayBreak.countDown()
        assertTrue(caller.readUntil(event(LAST_EVENT), LIMIT_MILLIS).endsWith(event(LAST_EVENT)), "the stream goes on")
        assertEquals(0 to 1, other.requests.size to same.requests.size)
    }

    /** An upstream wrote another version into its registration, with the same id, address and time of its start. */
    @Test
    fun aResponseGoesOnAtAnUpstreamWhoseVersionHasChanged() = GatewayFixture.run {
        val first = engineOf("v1", "models-1") { if (it.number == 1) it.beginAndBreak() else it.goOn() }
        awaitReady()
        val caller = begin()
        register("models-1", "models", first.address, sequence = 2, softwareVersion = "v2")
        awaitReady()
        mayBreak.countDown()
        assertEquals("", caller.readUntil(event(LAST_EVENT), LIMIT_MILLIS).substringAfter("\r\n"), "the stream is broken off")
        assertNotTakenUp(takeUp("second"), first)
    }

    /** A store that was restored from an older copy lacks the declaration of a version, and the origins of streams. */
    @Test
    fun aStreamGoesOnAtAnotherVersionAfterTheStoreWasRestored() = GatewayFixture.run {
        engineOf("v1", "models-1") { it.beginAndBreak() }
        awaitReady()
        begin()
        delay(STORED_MILLIS)
        val copy = store.copy()
        val other = engineOf("v2", "models-2") { it.goOn() }
        awaitReady()
        GatewayFixture.awaitTrue("both versions are declared") { store.names(DECLARED).size == 2 }
        store.restore(copy)
        register("models-2", "models", other.address, sequence = 2, softwareVersion = "v2")
        assertNotTakenUp(takeUp("second", "unknown"), other)
        GatewayFixture.awaitTrue("the version is declared again") { store.names(DECLARED).size == 2 }
        mayBreak.countDown()
        assertNotTakenUp(takeUp("third", "unknown"), other)
    }

    @Test
    fun aStreamThatNobodyKnowsIsHeldWhileTheStoreIsOut() = GatewayFixture.run {
        engineOf("v1", "models-1") { it.goOn() }
        val other = engineOf("v2", "models-2") { it.goOn() }
        awaitReady()
        GatewayFixture.awaitTrue("both versions are declared") { store.names(DECLARED).size == 2 }
        store.faults.busy = true
        val sentAtNanos = System.nanoTime()
        assertNotTakenUp(takeUp("second"), other)
        assertTrue(System.nanoTime() - sentAtNanos < LIMIT_MILLIS * NANOS_PER_MILLI, "the request is refused at once")
    }

    /** A caller took a stream up again, at the same host, and got its rest from another version; so did its next tries. */
    @Test
    fun aStreamThatItsCallerTakesUpGoesOnAtAnotherVersion() = GatewayFixture.run {
        val first = engineOf("v1", "models-1") { it.beginAndBreak() }
        awaitReady()
        val caller = begin()
        val other = engineOf("v2", "models-2") { it.goOn() }
        awaitReady()
        mayBreak.countDown()
        caller.close()
        remove("models-1", first)
        assertNotTakenUp(takeUp("second"), other)
        engineOf("v1", "models-3") { it.goOn() }
        awaitReady()
        assertTakenUp(takeUp("third"))
        assertTakenUp(takeUp("fourth"))
        assertNotTakenUp(takeUp("fifth", resumes = "unknown"), other)
    }

    /** All hosts were killed, and the one that the caller came back to knew nothing of the stream. */
    @Test
    fun aStreamGoesOnAtAnotherVersionAfterAllHostsWereKilled() = runWithTwoHosts(
        before = {
            val first = engineOf("v1", "models-1") { it.beginAndBreak() }
            awaitReady()
            begin()
            val other = engineOf("v2", "models-2") { it.goOn() }
            awaitReady()
            delay(STORED_MILLIS)
            first to other
        },
        after = { (first, other) ->
            awaitReady()
            remove("models-1", first)
            assertNotTakenUp(takeUp("second"), other)
            engineOf("v1", "models-3") { it.goOn() }
            awaitReady()
            assertTakenUp(takeUp("third"))
            assertNotTakenUp(takeUp("fourth", "unknown"), other)
        },
    )

    /** While a single version serves, nothing has to be remembered for a stream to go on after all hosts were killed. */
    @Test
    fun aStreamOfTheOnlyVersionIsNotTakenUpAfterAllHostsWereKilled() = runWithTwoHosts(
        before = {
            engineOf("v1", "models-1") { it.beginAndBreak() }.also {
                awaitReady()
                begin()
            }
        },
        after = { first ->
            awaitReady()
            remove("models-1", first)
            engineOf("v1", "models-2") { it.goOn() }
            awaitReady()
            assertTakenUp(takeUp("second"))
        },
    )

    /** Takes the upstream [id] from the store and waits until the host doesn't use it any more. */
    private suspend fun GatewayFixture.remove(id: String, upstream: ScriptedUpstream) {
        mayBreak.countDown()
        store.remove("servers", id)
        upstream.close()
        GatewayFixture.awaitTrue("$id is gone") { id !in knownRegistrations() }
        delay(GONE_MILLIS)
    }

    /** Runs [before] with one gateway, and after it has stopped [after] with another one that has the same store. */
    private fun <T> runWithTwoHosts(before: suspend GatewayFixture.() -> T, after: suspend GatewayFixture.(T) -> Unit) =
        runBlocking {
            PlatformStoreServer().use { store ->
                GatewayFixture(store).use { fixture ->
                    fixture.manifest()
                    val state = resourceScope {
                        gatewayProcess(fixture.settings, GatewayFixture.DEPLOYMENT)
                        fixture.before()
                    }
                    GatewayFixture(store, name = "edge-2").use { next ->
                        resourceScope {
                            gatewayProcess(next.settings, GatewayFixture.DEPLOYMENT)
                            next.after(state)
                        }
                    }
                }
            }
        }

    private companion object {
        const val LAST_EVENT = 6
        const val BREAK_AFTER = 3

        /** Time for which the caller of the stream waits, in milliseconds; it may come back until then. */
        const val CALLER_MILLIS = 15_000L

        /** Longest time that a test waits for events, in milliseconds. */
        const val LIMIT_MILLIS = 3_000
        const val LIMIT_SECONDS = 20L
        const val NANOS_PER_MILLI = 1_000_000L
        const val DECLARED = "declared-versions"

        /** Time in which the beginning of a stream is stored, in milliseconds. */
        const val STORED_MILLIS = 800L

        /** Time after which an upstream whose registration is gone is not used any more, in milliseconds. */
        const val GONE_MILLIS = 2_500L

        fun event(number: Int) = "id: $number\ndata: $number\n\n"

        val REST = (BREAK_AFTER + 1..LAST_EVENT).joinToString("", transform = ::event)
    }
}
