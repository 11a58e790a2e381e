package buckthornbay.protocol

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertSame

class JsonNestingTest {
    @Test
    fun contentsOfDeeplyNestedValuesAreRemoved() {
        assertEquals("[1,[2,[]],{\"a\":[]}]", "[1,[2,[3,[4]]],{\"a\":[5]}]".withLimitedNesting(maxDepth = 2))
        assertEquals("[{},{}]", "[{\"a\":{}},{\"b\":1}]".withLimitedNesting(maxDepth = 1))
        assertEquals("[[", "[[1,2".withLimitedNesting(maxDepth = 1))
    }

    @Test
    fun bracketsInStringsDoNotNest() {
        for (text in listOf("[\"[[[\"]", "[\"\\\"[[[\"]", "[\"\\\\\",[\"]\"]]", "\"[\\", "]]]", "")) {
            assertSame(text, text.withLimitedNesting(maxDepth = 2), text)
        }
    }
}
