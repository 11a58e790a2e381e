package buckthornbay.router.gateway

import buckthornbay.core.resumption.ServiceVersion
import buckthornbay.core.resumption.StreamKey
import buckthornbay.protocol.ServiceId
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class StreamVersionsFormatTest {
    private val old = ServiceVersion(ServiceId("models"), "v1/ä \n")
    private val new = ServiceVersion(ServiceId("models"), "v2")

    @Test
    fun whatIsStoredIsReadBack() {
        assertEquals(old, StreamVersionsFormat.decodeVersion(StreamVersionsFormat.encodeVersion(old)).get())
        val streams = mapOf(old to listOf(StreamKey(1), StreamKey(Long.MIN_VALUE)), new to listOf(StreamKey(-1)))
        assertEquals(streams, StreamVersionsFormat.decodeOrigins(StreamVersionsFormat.encodeOrigins(streams)).get())
        assertEquals(emptyMap(), StreamVersionsFormat.decodeOrigins(StreamVersionsFormat.encodeOrigins(emptyMap())).get())
    }

    @Test
    fun namesOfObjectsHoldAnyVersion() {
        val names = listOf(old, new, ServiceVersion(ServiceId("models\nv1"), "")).map(StreamVersionsFormat::nameOf)
        assertEquals(names.size, names.toSet().size)
        assertTrue(names.all { name -> name.matches(Regex("[0-9a-f]{32}")) })
    }

    @Test
    fun malformedObjectsAreReportedAsErrors() {
        for (text in listOf("{}", "null", "7", """{"service":"s","version":null}""")) {
            assertNotNull(StreamVersionsFormat.decodeVersion(Json.parseToJsonElement(text)).getError(), text)
        }
        for (keys in listOf("AAAA", "%", "AAAAAAAAAAAA")) {
            val text = """{"origins":[{"service":"s","version":"v","streams":"$keys"}]}"""
            assertNotNull(StreamVersionsFormat.decodeOrigins(Json.parseToJsonElement(text)).getError(), text)
        }
    }
}
