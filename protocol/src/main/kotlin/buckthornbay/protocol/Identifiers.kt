package buckthornbay.protocol

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Names one router process's place in the fleet; stable across restarts of that process. */
@Serializable
@JvmInline
public value class HostId(public val value: String) {
    override fun toString(): String = value
}

/** Names one workspace of the desired state. */
@Serializable
@JvmInline
public value class WorkspaceId(public val value: String) {
    override fun toString(): String = value
}

/** Names one service of the desired state. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Names one upstream of the desired state. */
@Serializable
@JvmInline
public value class UpstreamId(public val value: String) {
    override fun toString(): String = value
}

/** Names one request; unique across the fleet because it carries the host and its incarnation. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Names a region; traffic between two regions is slow and paid by volume. */
@Serializable
@JvmInline
public value class RegionId(public val value: String) {
    override fun toString(): String = value
}

/** Names an availability zone within a region. */
@Serializable
@JvmInline
public value class ZoneId(public val value: String) {
    override fun toString(): String = value
}

/**
 * Names the upstreams of one service in one region, which are scheduled together by one owner.
 *
 * The text form is `service@region`.
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
