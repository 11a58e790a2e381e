package buckthornbay.core.resumption

import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class StreamOriginsTest {
    private val service = ServiceId("models")
    private val old = ServiceVersion(service, "v1")
    private val new = ServiceVersion(service, "v2")
    private val origins = StreamOrigins(maxStreams = 100)
    private val declared = DeclaredVersions()

    private fun key(number: Int) = StreamKey.of(WorkspaceId("growers"), "attempt-$number")

    private fun lookUp(number: Int, nowMillis: Long = 0) = lookUpOrigin(nowMillis, key(number), service, origins, declared)

    /** Callers choose the ids of their attempts, so that another workspace may use the same one. */
    @Test
    fun aStreamOfAnotherWorkspaceHasAnotherKey() {
        assertNotEquals(key(1), StreamKey.of(WorkspaceId("sellers"), "attempt-1"))
        assertNotEquals(StreamKey.of(null, "a"), StreamKey.of(WorkspaceId("a"), ""))
    }

    @Test
    fun aStreamIsForgottenWhenItsCallerCanNotComeBackAnyMore() {
        origins.record(key(1), old, untilMillis = 1_000)
        origins.record(key(1), old, untilMillis = 500)
        assertEquals(old, origins.find(999, key(1)))
        assertNull(origins.find(1_000, key(1)))
        assertEquals(emptyMap(), origins.current(1_000))
    }

    /** Callers that make up attempts must not use up the memory. */
    @Test
    fun theStreamsRecordedFirstAreForgottenWhenThereAreTooMany() {
        repeat(150) { origins.record(key(it), old, untilMillis = 1_000) }
        assertEquals(100, origins.current(0).getValue(old).size)
        assertNull(origins.find(0, key(49)))
        assertEquals(old, origins.find(0, key(50)))
    }

    @Test
    fun whatThisHostHasSeenIsNotReplacedByWhatOthersStored() {
        origins.record(key(1), old, untilMillis = 1_000)
        origins.merge(mapOf(new to listOf(key(1), key(2))), untilMillis = 500)
        assertEquals(listOf(old, new), listOf(key(1), key(2)).map { origins.find(0, it) })
    }

    /** The absence of a record was taken for a proof that the stream began at the version that serves now. */
    @Test
    fun anUnknownStreamIsBoundOnlyIfItsServiceHasASingleDeclaredVersion() {
        assertEquals(OriginLookup.Unrecorded, lookUp(1))
        declared.declared(old)
        assertEquals(OriginLookup.Unrecorded, lookUp(1), "the store has not been read")
        declared.replaceAll(setOf(old, ServiceVersion(ServiceId("other"), "v9")))
        assertEquals(OriginLookup.Known(old), lookUp(1))
        declared.declared(new)
        assertEquals(OriginLookup.Unrecorded, lookUp(1))
        origins.record(key(1), new, untilMillis = 1_000)
        assertEquals(OriginLookup.Known(new), lookUp(1))
        assertTrue(declared.isMixed)
    }

    @Test
    fun streamsBeginAtAVersionOnlyAfterItWasDeclared() {
        declared.replaceAll(setOf(old))
        assertEquals(setOf("v1"), declared.forNewStreams(service, setOf("v1", "v2")))
        assertEquals(setOf(new), declared.undeclared(setOf(old, new)))
        declared.declared(new)
        assertNull(declared.forNewStreams(service, setOf("v1", "v2")), "all may be used")
        assertNull(declared.forNewStreams(service, setOf("v3")), "no declared version is left")
    }

    /** The store is restored from a copy that was made before the second version was declared. */
    @Test
    fun aVersionThatARestoredStoreLacksIsForgotten() {
        declared.replaceAll(setOf(old, new))
        declared.replaceAll(setOf(old))
        assertEquals(OriginLookup.Unrecorded, lookUp(1))
        assertEquals(setOf(new), declared.undeclared(setOf(old, new)))
        assertEquals(setOf("v1"), declared.forNewStreams(service, setOf("v1", "v2")))
    }

    @Test
    fun aVersionIsWithdrawnWhenItsUpstreamsHaveBeenGoneForLongEnough() {
        declared.replaceAll(setOf(old, new))
        assertEquals(emptySet(), declared.absentFor(0, 1_000, setOf(new)))
        assertEquals(emptySet(), declared.absentFor(900, 1_000, setOf(old, new)), "it has come back")
        assertEquals(emptySet(), declared.absentFor(1_000, 1_000, setOf(new)))
        assertEquals(setOf(old), declared.absentFor(2_000, 1_000, setOf(new)))
        declared.withdrawn(old)
        assertEquals(OriginLookup.Known(new), lookUp(1))
    }
}
