package buckthornbay.router

import buckthornbay.core.request.FailureKind
import buckthornbay.protocol.CostModel
import buckthornbay.protocol.WireJson
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.ClosedWriteChannelException
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readLine
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.io.IOException
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** A meter for the cost of a response while it is produced, in cost units. */
internal class CostMeter(
    private val cost: CostModel,
    private val startedAtMillis: Long,
    private val onProgress: (Double) -> Unit,
) {
    var tokens = 0
        private set

    /** The cost so far, in cost units. */
    var units = 0.0
        private set

    /** Adds the cost of one streamed token. */
    fun countToken() {
        tokens++
        units += cost.outputTokenUnits
        if (tokens % TOKENS_PER_REPORT == 1) onProgress(units)
    }

    /** Sets the cost of a plain request from the time since its attempt started. */
    fun settleTime(nowMillis: Long) {
        units = (nowMillis - startedAtMillis) / MILLIS_PER_SECOND * cost.serviceSecondUnits
    }

    /** Replaces the measured cost by the one computed from the token usage that the engine reported. */
    fun settle(usage: TokenUsage) {
        units = usage.promptTokens * cost.inputTokenUnits + usage.completionTokens * cost.outputTokenUnits
    }

    private companion object {
        const val TOKENS_PER_REPORT = 8
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

@Serializable
internal data class UsageChunk(val usage: TokenUsage? = null)

@Serializable
internal data class TokenUsage(
    @SerialName("prompt_tokens") val promptTokens: Long = 0,
    @SerialName("completion_tokens") val completionTokens: Long = 0,
)

/** A relay that copies an upstream response to the caller and detects whether the response is complete. */
internal class ResponseRelay(private val silenceMillis: Long) {
    /** Copies server-sent events up to the event that ends the stream; each event is written only once it is complete. */
    suspend fun relayEvents(from: ByteReadChannel, to: ByteWriteChannel, meter: CostMeter): Result<Unit, FailureKind> {
        val event = StringBuilder()
        while (true) {
            val line = when (val read = readWithTimeout { from.readLine() }) {
                is ReadOutcome.Broken -> return Err(FailureKind.BROKEN_IN_ANSWER)
                is ReadOutcome.Value -> read.value ?: return Err(FailureKind.BROKEN_IN_ANSWER)
            }
            if (line.isNotEmpty()) {
                event.append(line).append('\n')
                continue
            }
            if (event.isEmpty()) continue
            val text = event.append('\n').toString()
            event.clear()
            if (!tryWrite(to) { to.writeStringUtf8(text) }) return Err(FailureKind.CALLER_LEFT)
            if (text.startsWith(END_OF_STREAM)) return Ok(Unit)
            recordEvent(text, meter)
        }
    }

    /** Copies bytes as they arrive, with back-pressure from the caller. */
    suspend fun relayBytes(from: ByteReadChannel, to: ByteWriteChannel): Result<Unit, FailureKind> {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = when (val read = readWithTimeout { from.readAvailable(buffer) }) {
                is ReadOutcome.Broken -> return Err(FailureKind.BROKEN_IN_ANSWER)
                is ReadOutcome.Value -> read.value
            }
            if (count < 0) return if (from.closedCause == null) Ok(Unit) else Err(FailureKind.BROKEN_IN_ANSWER)
            if (!tryWrite(to) { to.writeFully(buffer, 0, count) }) return Err(FailureKind.CALLER_LEFT)
        }
    }

    /** Reads a response body of known length into memory, so that the request can be retried if the body is incomplete. */
    suspend fun readFully(from: ByteReadChannel, lengthBytes: Int): Result<ByteArray, FailureKind> {
        val bytes = ByteArray(lengthBytes)
        var filled = 0
        while (filled < lengthBytes) {
            val read = readWithTimeout { from.readAvailable(bytes, filled, lengthBytes - filled) }
            val count = (read as? ReadOutcome.Value)?.value ?: -1
            if (count < 0) return Err(FailureKind.BROKEN_BEFORE_ANSWER)
            filled += count
        }
        return Ok(bytes)
    }

    private sealed interface ReadOutcome<out T> {
        data class Value<T>(val value: T) : ReadOutcome<T>

        data object Broken : ReadOutcome<Nothing>
    }

    private suspend fun <T> readWithTimeout(read: suspend () -> T): ReadOutcome<T> = try {
        ReadOutcome.Value(withTimeout(silenceMillis) { read() })
    } catch (_: TimeoutCancellationException) {
        ReadOutcome.Broken
    } catch (_: IOException) {
        ReadOutcome.Broken
    }

    private suspend fun tryWrite(to: ByteWriteChannel, write: suspend () -> Unit): Boolean = try {
        write()
        to.flush()
        true
    } catch (_: ClosedWriteChannelException) {
        false
    } catch (_: IOException) {
        false
    }

    private fun recordEvent(event: String, meter: CostMeter) {
        if (!event.startsWith("data:")) return
        if (USAGE_KEY in event) parseUsage(event.removePrefix("data:"))?.let(meter::settle) else meter.countToken()
    }

    internal companion object {
        private const val BUFFER_BYTES = 16_384
        private const val END_OF_STREAM = "data: [DONE]"
        private const val USAGE_KEY = "\"usage\":{"

        /** Returns the token usage in [json], or null if there is none. */
        fun parseUsage(json: String): TokenUsage? = try {
            WireJson.decodeFromString(UsageChunk.serializer(), json).usage
        } catch (_: SerializationException) {
            null
        }
    }
}
