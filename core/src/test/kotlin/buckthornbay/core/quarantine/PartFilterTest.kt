package buckthornbay.core.quarantine

import org.apache.commons.collections4.bloomfilter.Shape
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Tests the filters that stand for lists of prompt parts that are too long to keep or to send. */
class PartFilterTest {
    private val shape = Shape.fromKM(3, 65_536)
    private val codec = PartFilterCodec(shape)

    private fun filterOf(parts: IntRange) = PartFilter(shape).apply { parts.forEach { add(PartHash.of("part-$it")) } }

    private fun IntRange.countIn(filter: PartFilter) = count { PartHash.of("part-$it") in filter }

    @Test
    fun aFilterLosesPartsOnItsWayToAPeer() {
        for (size in listOf(0, 1, 500, 6_000, 50_000)) {
            val filter = filterOf(0 until size)
            val decoded = assertNotNull(codec.decode(codec.encode(filter)), "$size parts")
            assertEquals(size, (0 until size).countIn(decoded), "of $size parts")
            assertEquals(filter.isSaturated, decoded.isSaturated, "$size parts")
        }
        assertTrue(codec.encode(filterOf(0 until 50)).length < 50 * LISTED_PART_CHARS, "a list of them would be shorter")
    }

    @Test
    fun aFilterOfManyPartsClaimsOthersWithoutSayingThatItIsFull() {
        assertTrue((10_000 until 20_000).countIn(filterOf(0 until 6_000)) < 300)
        assertFalse(filterOf(0 until 6_000).isSaturated)
        assertTrue(filterOf(0 until 30_000).isSaturated)
    }

    /** A peer of another version, or a damaged message. */
    @Test
    fun anInvalidFilterEndsTheMergeWithAnException() {
        val otherShape = Shape.fromKM(3, 64)
        val ofOtherShape = PartFilterCodec(otherShape).encode(PartFilter(otherShape))
        val cutShort = codec.encode(filterOf(0 until 9)).dropLast(8)
        for (text in listOf("", "%", "AAAA", cutShort, ofOtherShape)) assertNull(codec.decode(text), text)
    }

    @Test
    fun aPartThatIsAnsweredAgainAndAgainIsForgotten() {
        val answered = AnsweredParts(maxParts = 100)
        repeat(1_000) {
            answered.add("other-$it")
            if (it % 50 == 0) answered.add("shared")
            assertTrue("shared" in answered, "after $it others")
        }
        assertFalse("other-0" in answered)
    }

    private companion object {
        /** Characters of a suspect in a message, about. */
        const val LISTED_PART_CHARS = 45
    }
}
