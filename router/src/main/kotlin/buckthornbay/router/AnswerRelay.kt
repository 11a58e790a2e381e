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

/** Counts what an answer has cost so far, in cost units. */
internal class CostMeter(
    private val cost: CostModel,
    private val startedAtMillis: Long,
    private val onProgress: (Double) -> Unit,
) {
    var tokens = 0
        private set

    /** Cost so far. */
    var units = 0.0
        private set

    /** Counts one streamed token. */
    fun token() {
        tokens++
        units += cost.outputTokenUnits
        if (tokens % REPORT_TOKENS == 1) onProgress(units)
    }

    /** Counts the time since the attempt began as the cost of a plain request. */
    fun settleTime(nowMillis: Long) {
        units = (nowMillis - startedAtMillis) / MILLIS_PER_SECOND * cost.serviceSecondUnits
    }

    /** Takes the engine's own account, which replaces the count. */
    fun settle(usage: TokenUsage) {
        units = usage.promptTokens * cost.inputTokenUnits + usage.completionTokens * cost.outputTokenUnits
    }

    private companion object {
        const val REPORT_TOKENS = 8
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

/** Passes an upstream's answer on to the caller and tells a broken answer from a whole one. */
internal class AnswerRelay(private val silenceMillis: Long) {
    /** Passes on server-sent events, each only when it is complete, until the event that ends the stream. */
    suspend fun relayEvents(from: ByteReadChannel, to: ByteWriteChannel, meter: CostMeter): Result<Unit, FailureKind> {
        val event = StringBuilder()
        while (true) {
            val line = when (val read = guardRead { from.readLine() }) {
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
            if (!guardWrite(to) { to.writeStringUtf8(text) }) return Err(FailureKind.CALLER_LEFT)
            if (text.startsWith(END_OF_STREAM)) return Ok(Unit)
            count(text, meter)
        }
    }

    /** Passes on bytes as they come, no faster than the caller takes them. */
    suspend fun relayBytes(from: ByteReadChannel, to: ByteWriteChannel): Result<Unit, FailureKind> {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = when (val read = guardRead { from.readAvailable(buffer) }) {
                is ReadOutcome.Broken -> return Err(FailureKind.BROKEN_IN_ANSWER)
                is ReadOutcome.Value -> read.value
            }
            if (count < 0) return if (from.closedCause == null) Ok(Unit) else Err(FailureKind.BROKEN_IN_ANSWER)
            if (!guardWrite(to) { to.writeFully(buffer, 0, count) }) return Err(FailureKind.CALLER_LEFT)
        }
    }

    /** Reads a whole answer of known length, so that a broken one can still be retried. */
    suspend fun readWhole(from: ByteReadChannel, lengthBytes: Int): Result<ByteArray, FailureKind> {
        val whole = ByteArray(lengthBytes)
        var filled = 0
        while (filled < lengthBytes) {
            val read = guardRead { from.readAvailable(whole, filled, lengthBytes - filled) }
            val count = (read as? ReadOutcome.Value)?.value ?: -1
            if (count < 0) return Err(FailureKind.BROKEN_BEFORE_ANSWER)
            filled += count
        }
        return Ok(whole)
    }

    private sealed interface ReadOutcome<out T> {
        data class Value<T>(val value: T) : ReadOutcome<T>

        data object Broken : ReadOutcome<Nothing>
    }

    private suspend fun <T> guardRead(read: suspend () -> T): ReadOutcome<T> = try {
        ReadOutcome.Value(withTimeout(silenceMillis) { read() })
    } catch (_: TimeoutCancellationException) {
        ReadOutcome.Broken
    } catch (_: IOException) {
        ReadOutcome.Broken
    }

    private suspend fun guardWrite(to: ByteWriteChannel, write: suspend () -> Unit): Boolean = try {
        write()
        to.flush()
        true
    } catch (_: ClosedWriteChannelException) {
        false
    } catch (_: IOException) {
        false
    }

    private fun count(event: String, meter: CostMeter) {
        if (!event.startsWith("data:")) return
        if (USAGE_MARK in event) usageIn(event.removePrefix("data:"))?.let(meter::settle) else meter.token()
    }

    internal companion object {
        private const val BUFFER_BYTES = 16_384
        private const val END_OF_STREAM = "data: [DONE]"
        private const val USAGE_MARK = "\"usage\":{"

        /** Returns the engine's account in [json], or null where it has none. */
        fun usageIn(json: String): TokenUsage? = try {
            WireJson.decodeFromString(UsageChunk.serializer(), json).usage
        } catch (_: SerializationException) {
            null
        }
    }
}
