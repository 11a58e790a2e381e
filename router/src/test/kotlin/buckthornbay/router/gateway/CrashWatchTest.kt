package buckthornbay.router.gateway

import buckthornbay.testkit.platform.ScriptedExchange
import buckthornbay.testkit.platform.ScriptedUpstream
import kotlinx.coroutines.delay
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests what counts as a crash of an engine, and what as proof that a prompt part crashes none. */
class CrashWatchTest {
    private fun ScriptedExchange.beginUnframedStream() {
        write("HTTP/1.1 200 OK\r\n${requiredHeaders()}Content-Type: text/event-stream\r\n\r\n")
        write("id: 1\ndata: 1\n\n")
    }

    private fun ScriptedExchange.unframedStream() {
        beginUnframedStream()
        close()
    }

    /** Starts an engine that answers by [script] and keeps it registered for one request with the part. */
    private suspend fun GatewayFixture.answerOnce(script: ScriptedExchange.() -> Unit): Int {
        upstream("models-8", "models", script)
        awaitReady()
        val status = askWithCrashingPart("8").status
        delay(CHECK_MILLIS)
        store.remove("servers", "models-8")
        GatewayFixture.awaitTrue("the registration is gone") { askWithCrashingPart("gone-8").status == 503 }
        return status
    }

    private suspend fun GatewayFixture.startSoundEngine(): ScriptedUpstream =
        upstream("models-9", "models") { it.answer() }.also { awaitReady() }

    /** Such a response ends like a complete one when the engine crashes between two events. */
    @Test
    fun aCrashWithinAnUnframedResponseIsTakenForItsEnd() = GatewayFixture.run {
        repeat(3) { number -> crashNextEngine(number) { beginUnframedStream() } }
        val engine = startSoundEngine()
        assertEquals(503, askWithCrashingPart("9").status)
        assertTrue(engine.requests.isEmpty())
    }

    /** Streams of a few events last too short a time to prove anything before their end. */
    @Test
    fun aPartWhoseUnframedResponsesAreCompleteIsBlamedForCrashes() = GatewayFixture.run {
        repeat(2) { number -> crashNextEngine(number) }
        assertEquals(200, answerOnce { unframedStream() })
        crashNextEngine(3)
        startSoundEngine()
        assertEquals(200, askWithCrashingPart("9").status)
    }

    /** An engine that rejects a request has not begun to answer it. */
    @Test
    fun aRejectedRequestProvesThatItsPartCrashesNoEngine() = GatewayFixture.run {
        repeat(2) { number -> crashNextEngine(number) }
        assertEquals(400, answerOnce { answer("400 Bad Request") })
        crashNextEngine(3)
        val engine = startSoundEngine()
        assertEquals(503, askWithCrashingPart("9").status)
        assertTrue(engine.requests.isEmpty())
    }

    private companion object {
        /** Time in which the gateway checks that an engine still accepts connections, in milliseconds. */
        const val CHECK_MILLIS = 200L
    }
}
