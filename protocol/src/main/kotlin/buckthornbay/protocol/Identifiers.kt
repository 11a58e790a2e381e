package buckthornbay.protocol

import kotlinx.serialization.Serializable

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
@Serializable
public data class PoolId(public val service: ServiceId, public val region: RegionId) {
    override fun toString(): String = "${service.value}@${region.value}"
}
