package buckthornbay.protocol

import java.io.ByteArrayOutputStream
import java.util.zip.Deflater
import java.util.zip.Inflater

/**
 * An encoder of envelopes for one long-lived stream: JSON lines, compressed with DEFLATE.
 *
 * The compression window is kept between envelopes: consecutive messages between two peers are nearly identical, so each one
 * compresses to a small size.
 */
public class EnvelopeEncoder : AutoCloseable {
    private val deflater = Deflater(Deflater.BEST_COMPRESSION, NO_WRAP)
    private val buffer = ByteArray(BUFFER_BYTES)

    /** Returns the encoded [envelope], flushed so that the receiver can decode it as soon as all its bytes have arrived. */
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

/** A decoder of the output of an [EnvelopeEncoder], which may be split at any byte. */
public class EnvelopeDecoder : AutoCloseable {
    private val inflater = Inflater(NO_WRAP)
    private val buffer = ByteArray(BUFFER_BYTES)
    private val line = ByteArrayOutputStream()

    /**
     * Decodes the first [length] bytes of [bytes] and returns the envelopes completed by them.
     *
     * @throws java.util.zip.DataFormatException if the bytes are not valid DEFLATE data.
     * @throws kotlinx.serialization.SerializationException if a line is not a valid envelope.
     * @throws IllegalStateException if a line exceeds the maximum length.
     */
    public fun decode(bytes: ByteArray, length: Int): List<PeerEnvelope> {
        val envelopes = ArrayList<PeerEnvelope>()
        inflater.setInput(bytes, 0, length)
        do {
            val count = inflater.inflate(buffer)
            for (index in 0 until count) acceptByte(buffer[index], envelopes)
        } while (count > 0)
        return envelopes
    }

    private fun acceptByte(byte: Byte, envelopes: MutableList<PeerEnvelope>) {
        if (byte != NEW_LINE) {
            check(line.size() < MAX_LINE_BYTES) { "line in a peer's stream exceeds the limit of $MAX_LINE_BYTES bytes" }
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
