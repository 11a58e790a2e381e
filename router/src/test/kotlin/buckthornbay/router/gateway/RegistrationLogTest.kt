package buckthornbay.router.gateway

import buckthornbay.store.CollectionObject
import kotlinx.serialization.json.JsonPrimitive
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RegistrationLogTest {
    private val log = RegistrationLog()

    private fun item(name: String) = CollectionObject(name, JsonPrimitive(name))

    @Test
    fun aPeerGetsOnlyTheChangesAfterItsRevision() {
        log.replaceAll(listOf(item("a"), item("b")), revision = 10)
        log.put(item("c"), revision = 11)
        log.remove("a", revision = 12)
        val changes = log.since(10, currentRevision = 12)
        assertFalse(changes.isFullList)
        assertEquals(setOf("c"), changes.put.keys)
        assertEquals(setOf("a"), changes.removed)
        assertEquals(setOf("a"), log.since(11, currentRevision = 12).removed)
        assertTrue(log.since(11, currentRevision = 12).put.isEmpty())
    }

    @Test
    fun aPeerWhoseRevisionIsBeforeTheLastListingGetsTheFullList() {
        log.replaceAll(listOf(item("a"), item("b")), revision = 10)
        val changes = log.since(9, currentRevision = 10)
        assertTrue(changes.isFullList)
        assertEquals(setOf("a", "b"), changes.put.keys)
    }

    @Test
    fun aPeerThatMissedMoreRemovalsThanTheHistoryHoldsGetsTheFullList() {
        log.replaceAll(List(300) { item("item-$it") }, revision = 10)
        repeat(200) { log.remove("item-$it", revision = 11L + it) }
        assertTrue(log.since(10, currentRevision = 210).isFullList)
        assertFalse(log.since(150, currentRevision = 210).isFullList)
    }
}
