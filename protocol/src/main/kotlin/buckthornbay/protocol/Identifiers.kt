package buckthornbay.protocol

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Identifier of a host, which is one router process in the fleet; stable across restarts of the process. */
@Serializable
@JvmInline
public value class HostId(public val value: String) {
    override fun toString(): String = value
}

/** Identifier of a workspace in the desired state. */
@Serializable
@JvmInline
public value class WorkspaceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifier of a service in the desired state. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifier of an upstream in the desired state. */
@Serializable
@JvmInline
public value class UpstreamId(public val value: String) {
    override fun toString(): String = value
}

/** Identifier of a request; unique across the fleet because it contains the host and its incarnation. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifier of a region; traffic between regions is slow and billed by volume. */
@Serializable
@JvmInline
public value class RegionId(public val value: String) {
    override fun toString(): String = value
}

/** Identifier of an availability zone within a region. */
@Serializable
@JvmInline
public value class ZoneId(public val value: String) {
    override fun toString(): String = value
}

/**
 * Identifier of a pool: the upstreams of one service in one region, which a single owner schedules.
 *
 * The string form is `service@region`.
 */
@Serializable(with = PoolIdSerializer::class)
public data class PoolId(public val service: ServiceId, public val region: RegionId) {
    override fun toString(): String = "${service.value}@${region.value}"
}

internal object PoolIdSerializer : KSerializer<PoolId> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("buckthornbay.protocol.PoolId", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: PoolId) = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): PoolId {
        val text = decoder.decodeString()
        return PoolId(ServiceId(text.substringBeforeLast('@')), RegionId(text.substringAfterLast('@')))
    }
}
