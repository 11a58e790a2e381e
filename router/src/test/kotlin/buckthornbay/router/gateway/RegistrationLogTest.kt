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
    fun aPeerIsToldOnlyWhatItMisses() {
        log.replaceAll(listOf(item("a"), item("b")), revision = 10)
        log.put(item("c"), revision = 11)
        log.remove("a", revision = 12)
        val missed = log.since(10, now = 12)
        assertFalse(missed.whole)
        assertEquals(setOf("c"), missed.put.keys)
        assertEquals(setOf("a"), missed.removed)
        assertEquals(setOf("a"), log.since(11, now = 12).removed)
        assertTrue(log.since(11, now = 12).put.isEmpty())
    }

    @Test
    fun aPeerFromBeforeTheListIsToldAll() {
        log.replaceAll(listOf(item("a"), item("b")), revision = 10)
        val missed = log.since(9, now = 10)
        assertTrue(missed.whole)
        assertEquals(setOf("a", "b"), missed.put.keys)
    }

    @Test
    fun aPeerThatMissedMoreRemovalsThanAreRememberedIsToldAll() {
        log.replaceAll(List(300) { item("item-$it") }, revision = 10)
        repeat(200) { log.remove("item-$it", revision = 11L + it) }
        assertTrue(log.since(10, now = 210).whole)
        assertFalse(log.since(150, now = 210).whole)
    }
}
