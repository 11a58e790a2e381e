package buckthornbay.router

import buckthornbay.core.request.FailureKind
import buckthornbay.protocol.CostModel
import com.github.michaelbull.result.getError
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.runBlocking
import kotlinx.io.IOException
import kotlinx.io.readString
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Tests responses of the own interface's upstreams that have neither a length nor chunks and end with their connection. */
class ResponseRelayTest {
    private val relay = ResponseRelay(silenceMillis = 1_000)
    private val meter = CostMeter(CostModel(), startedAtMillis = 0) {}

    /** Relays [from] as events or as bytes, and returns the failure and what the caller gets. */
    private fun relayed(from: ByteReadChannel, events: Boolean): Pair<FailureKind?, String> = runBlocking {
        val to = ByteChannel(autoFlush = true)
        val failure = (if (events) relay.relayEvents(from, to, meter) else relay.relayBytes(from, to)).getError()
        to.flushAndClose()
        failure to to.readRemaining().readString()
    }

    @Test
    fun aStreamThatEndsWithinAnEventIsEndedAsComplete() {
        val broken = FailureKind.BROKEN_IN_ANSWER to "data: 1\n\n"
        assertEquals(broken, relayed(ByteReadChannel("data: 1\n\ndata: 2"), events = true))
        assertEquals(broken, relayed(ByteReadChannel("data: 1\n\ndata: [DONE]\n"), events = true))
    }

    @Test
    fun aStreamThatEndsBeforeItsLastEventIsEndedAsComplete() {
        assertEquals(FailureKind.BROKEN_IN_ANSWER to "data: 1\n\n", relayed(ByteReadChannel("data: 1\n\n"), events = true))
    }

    @Test
    fun aBodyWhoseConnectionIsResetIsEndedAsComplete() {
        val reset = ByteChannel().apply { cancel(IOException("connection reset")) }
        assertEquals(FailureKind.BROKEN_IN_ANSWER, relayed(reset, events = false).first)
        assertNull(relayed(ByteReadChannel("ok"), events = false).first)
    }
}
