package buckthornbay.core.load

import buckthornbay.protocol.UpstreamId
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import java.nio.ByteBuffer
import java.util.Base64
import java.util.zip.CRC32

/**
 * Numbers of requests in progress, by upstream.
 *
 * Upstreams are told apart by a checksum of their id, which keeps messages between hosts short.
 */
@Serializable(with = RequestCountsSerializer::class)
public class RequestCounts internal constructor(internal val byChecksum: Map<Int, Int>) {
    /** Returns the number of requests in progress at [upstream]. */
    public operator fun get(upstream: UpstreamId): Int = byChecksum[checksumOf(upstream)] ?: 0

    /** Returns the sums of both numbers, by upstream. */
    public operator fun plus(other: RequestCounts): RequestCounts {
        val sums = HashMap(byChecksum)
        other.byChecksum.forEach { (checksum, count) -> sums.merge(checksum, count, Int::plus) }
        return RequestCounts(sums)
    }

    override fun equals(other: Any?): Boolean = other is RequestCounts && byChecksum == other.byChecksum

    override fun hashCode(): Int = byChecksum.hashCode()

    override fun toString(): String = "RequestCounts($byChecksum)"

    public companion object {
        /** No request at any upstream. */
        public val NONE: RequestCounts = RequestCounts(emptyMap())

        /** Returns the [counts] of requests by upstream. */
        public fun of(counts: Map<UpstreamId, Int>): RequestCounts = RequestCounts(counts.mapKeys { checksumOf(it.key) })

        private fun checksumOf(upstream: UpstreamId): Int =
            CRC32().apply { update(upstream.value.toByteArray()) }.value.toInt() and CHECKSUM_MASK

        /** Three bytes: two of 600 upstreams have the same checksum with a probability of about one in a hundred. */
        private const val CHECKSUM_MASK = 0xFF_FFFF
    }
}

/** The form of [RequestCounts] in messages: three bytes of checksum and one of the count for each upstream, in Base64. */
internal object RequestCountsSerializer : KSerializer<RequestCounts> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("RequestCounts", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: RequestCounts) {
        val bytes = ByteBuffer.allocate(value.byChecksum.size * Int.SIZE_BYTES)
        value.byChecksum.forEach { (checksum, count) -> bytes.putInt((checksum shl Byte.SIZE_BITS) or minOf(count, MAX_COUNT)) }
        encoder.encodeString(Base64.getEncoder().encodeToString(bytes.array()))
    }

    override fun deserialize(decoder: Decoder): RequestCounts {
        val bytes = try {
            Base64.getDecoder().decode(decoder.decodeString())
        } catch (e: IllegalArgumentException) {
            throw SerializationException("request counts are not in Base64", e)
        }
        if (bytes.size % Int.SIZE_BYTES != 0) throw SerializationException("request counts have ${bytes.size} bytes")
        val words = ByteBuffer.wrap(bytes).asIntBuffer()
        return RequestCounts(List(words.remaining()) { words.get() }.associate { (it ushr Byte.SIZE_BITS) to (it and MAX_COUNT) })
    }

    private const val MAX_COUNT = 0xFF
}
