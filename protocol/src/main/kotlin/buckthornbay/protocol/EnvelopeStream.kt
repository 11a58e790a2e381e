package buckthornbay.protocol

import java.io.ByteArrayOutputStream
import java.util.zip.Deflater
import java.util.zip.Inflater

/**
 * Encodes envelopes for one long-lived stream: JSON lines, deflated with the memory of all earlier lines.
 *
 * Peers tell each other nearly the same lines again and again, so that the memory makes each small.
 */
public class EnvelopeEncoder : AutoCloseable {
    private val deflater = Deflater(Deflater.BEST_COMPRESSION, NO_WRAP)
    private val buffer = ByteArray(BUFFER_BYTES)

    /** Returns the bytes that make [envelope] readable at the other end as soon as they arrive. */
    public fun encode(envelope: PeerEnvelope): ByteArray {
        val line = WireJson.encodeToString(PeerEnvelope.serializer(), envelope) + "\n"
        deflater.setInput(line.encodeToByteArray())
        val bytes = ByteArrayOutputStream()
        do {
            val count = deflater.deflate(buffer, 0, buffer.size, Deflater.SYNC_FLUSH)
            bytes.write(buffer, 0, count)
        } while (count == buffer.size)
        return bytes.toByteArray()
    }

    override fun close(): Unit = deflater.end()
}

/** Decodes what an [EnvelopeEncoder] wrote, in pieces of any size. */
public class EnvelopeDecoder : AutoCloseable {
    private val inflater = Inflater(NO_WRAP)
    private val buffer = ByteArray(BUFFER_BYTES)
    private val line = ByteArrayOutputStream()

    /**
     * Returns the envelopes that [length] bytes of [bytes] complete.
     *
     * @throws java.util.zip.DataFormatException where the bytes are no such stream.
     * @throws kotlinx.serialization.SerializationException where a line is no envelope.
     */
    public fun decode(bytes: ByteArray, length: Int): List<PeerEnvelope> {
        val envelopes = ArrayList<PeerEnvelope>()
        inflater.setInput(bytes, 0, length)
        do {
            val count = inflater.inflate(buffer)
            for (index in 0 until count) take(buffer[index], envelopes)
        } while (count > 0)
        return envelopes
    }

    private fun take(byte: Byte, envelopes: MutableList<PeerEnvelope>) {
        if (byte != NEW_LINE) {
            check(line.size() < MAX_LINE_BYTES) { "a line of a peer's stream has more than $MAX_LINE_BYTES bytes" }
            line.write(byte.toInt())
            return
        }
        envelopes += WireJson.decodeFromString(PeerEnvelope.serializer(), line.toString(Charsets.UTF_8))
        line.reset()
    }

    override fun close(): Unit = inflater.end()

    private companion object {
        const val NEW_LINE = '\n'.code.toByte()
        const val MAX_LINE_BYTES = 1_000_000
    }
}

private const val NO_WRAP = true
private const val BUFFER_BYTES = 4_096
