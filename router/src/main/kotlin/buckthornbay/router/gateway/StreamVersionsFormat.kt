package buckthornbay.router.gateway

import buckthornbay.core.resumption.ServiceVersion
import buckthornbay.core.resumption.StreamKey
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WireJson
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.runCatching
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.Base64
import java.util.HexFormat

/** The objects that [StreamVersions] keeps in the store. */
internal object StreamVersionsFormat {
    @Serializable
    private data class DeclaredVersion(val service: String, val version: String)

    /** Streams that have begun at a [version] of [service]: their keys, of eight bytes each, in Base64. */
    @Serializable
    private data class Origin(val service: String, val version: String, val streams: String)

    @Serializable
    private data class HostOrigins(val origins: List<Origin>)

    /** Returns the name of the object that declares [version], which may itself hold characters that names can't. */
    fun nameOf(version: ServiceVersion): String {
        val text = "${version.service.value}\n${version.softwareVersion}"
        val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return HexFormat.of().formatHex(digest, 0, NAME_BYTES)
    }

    fun encodeVersion(version: ServiceVersion): JsonElement = WireJson.encodeToJsonElement(
        DeclaredVersion.serializer(),
        DeclaredVersion(version.service.value, version.softwareVersion),
    )

    fun decodeVersion(value: JsonElement): Result<ServiceVersion, String> = runCatching {
        val declared = WireJson.decodeFromJsonElement(DeclaredVersion.serializer(), value)
        ServiceVersion(ServiceId(declared.service), declared.version)
    }.mapError { it.toString() }

    fun encodeOrigins(streams: Map<ServiceVersion, List<StreamKey>>): JsonElement = WireJson.encodeToJsonElement(
        HostOrigins.serializer(),
        HostOrigins(streams.map { (origin, keys) -> Origin(origin.service.value, origin.softwareVersion, encodeKeys(keys)) }),
    )

    fun decodeOrigins(value: JsonElement): Result<Map<ServiceVersion, List<StreamKey>>, String> = runCatching {
        WireJson.decodeFromJsonElement(HostOrigins.serializer(), value).origins
            .associate { ServiceVersion(ServiceId(it.service), it.version) to decodeKeys(it.streams) }
    }.mapError { it.toString() }

    private fun encodeKeys(keys: List<StreamKey>): String {
        val bytes = ByteBuffer.allocate(keys.size * Long.SIZE_BYTES)
        keys.forEach { bytes.putLong(it.digest) }
        return Base64.getEncoder().encodeToString(bytes.array())
    }

    private fun decodeKeys(text: String): List<StreamKey> {
        val bytes = Base64.getDecoder().decode(text)
        require(bytes.size % Long.SIZE_BYTES == 0) { "the keys have ${bytes.size} bytes" }
        val longs = ByteBuffer.wrap(bytes).asLongBuffer()
        return List(longs.remaining()) { StreamKey(longs.get()) }
    }

    private const val NAME_BYTES = 16
}
