package buckthornbay.core.quarantine

import org.apache.commons.codec.digest.MurmurHash3
import org.apache.commons.collections4.bloomfilter.BitMapExtractor
import org.apache.commons.collections4.bloomfilter.EnhancedDoubleHasher
import org.apache.commons.collections4.bloomfilter.Shape
import org.apache.commons.collections4.bloomfilter.SimpleBloomFilter

/** A hash of a prompt part, which all [PartFilter]s accept. */
@JvmInline
internal value class PartHash private constructor(val hasher: EnhancedDoubleHasher) {
    companion object {
        fun of(part: String): PartHash {
            val bytes = part.encodeToByteArray()
            val hash = MurmurHash3.hash128x64(bytes, 0, bytes.size, 0)
            return PartHash(EnhancedDoubleHasher(hash[0], hash[1]))
        }
    }
}

/**
 * A set of prompt parts of fixed size (a Bloom filter): it contains each part that was added, and seldom one that was not.
 *
 * @param shape number of bits and of hash functions.
 */
internal class PartFilter(private val shape: Shape) {
    private val bits = SimpleBloomFilter(shape)

    /** Whether so many parts were added that the filter also contains many others. */
    val isSaturated: Boolean get() = bits.cardinality() > shape.numberOfBits / 2

    operator fun contains(part: PartHash): Boolean = bits.contains(part.hasher)

    fun add(part: PartHash) {
        bits.merge(part.hasher)
    }

    /** Adds the parts of [other], which has the same shape; returns whether there were further ones. */
    fun addAll(other: PartFilter): Boolean {
        val bitsBefore = bits.cardinality()
        bits.merge(other.bits)
        return bits.cardinality() > bitsBefore
    }

    fun copy(): PartFilter = PartFilter(shape).also { it.addAll(this) }

    /** The words of the bit map, each of 64 bits. */
    fun toWords(): LongArray = bits.asBitMapArray()

    companion object {
        /** Returns the filter of [shape] whose [toWords] are [words]. */
        fun of(shape: Shape, words: LongArray): PartFilter =
            PartFilter(shape).also { it.bits.merge(BitMapExtractor { consumer -> words.all { consumer.test(it) } }) }
    }
}
