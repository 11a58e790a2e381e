package buckthornbay.core.quarantine

import org.apache.commons.collections4.bloomfilter.Shape
import java.nio.ByteBuffer
import java.util.Base64
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** The text form of a [PartFilter] of [shape]: its bit map, deflated, in Base64. */
internal class PartFilterCodec(private val shape: Shape) {
    private val byteCount = (shape.numberOfBits + Long.SIZE_BITS - 1) / Long.SIZE_BITS * Long.SIZE_BYTES

    fun encode(filter: PartFilter): String {
        val bytes = ByteBuffer.allocate(byteCount).apply { filter.toWords().forEach(::putLong) }.array()
        val deflater = Deflater()
        val deflated = ByteArray(byteCount + MAX_OVERHEAD_BYTES)
        val length = try {
            deflater.setInput(bytes)
            deflater.finish()
            deflater.deflate(deflated)
        } finally {
            deflater.end()
        }
        return Base64.getEncoder().encodeToString(deflated.copyOf(length))
    }

    /** Returns the filter that [text] holds, or null if [text] is no valid form of one. */
    fun decode(text: String): PartFilter? {
        val inflater = Inflater()
        return try {
            inflater.setInput(Base64.getDecoder().decode(text))
            // With room for a byte more, the inflater reads up to the checksum.
            val bytes = ByteArray(byteCount + 1)
            if (inflater.inflate(bytes) != byteCount || !inflater.finished()) return null
            PartFilter.of(shape, LongArray(byteCount / Long.SIZE_BYTES).also { ByteBuffer.wrap(bytes).asLongBuffer().get(it) })
        } catch (_: IllegalArgumentException) {
            null
        } catch (_: DataFormatException) {
            null
        } finally {
            inflater.end()
        }
    }

    private companion object {
        /** Bytes by which deflating may lengthen a bit map: a header, a checksum and a few blocks that are stored as they are. */
        const val MAX_OVERHEAD_BYTES = 64
    }
}
