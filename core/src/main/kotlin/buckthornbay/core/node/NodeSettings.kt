package buckthornbay.core.node

import buckthornbay.core.membership.MembershipSettings
import buckthornbay.core.pool.HolderSettings
import buckthornbay.core.pool.OwnerSettings
import buckthornbay.protocol.Member
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource

/**
 * What a [RouterNode] is built from.
 *
 * @property self this host as its peers should know it; its incarnation is the start number of the process.
 * @property seedUrls base addresses of hosts to ask first.
 * @property random the only source of chance in the node's decisions.
 * @property watchers how many hosts of the fleet wait for changes at the platform.
 * @property totalsMillis time between two messages of service totals to the owners of other pools, in milliseconds.
 */
public class NodeSettings internal constructor(builder: NodeSettingsBuilder) {
    public val self: Member = builder.self
    public val seedUrls: List<String> = builder.seedUrls
    public val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(builder.seed)
    public val watchers: Int = builder.watchers
    public val totalsMillis: Long = builder.totalsMillis
    public val membership: MembershipSettings = builder.membership
    public val holder: HolderSettings = builder.holder
    public val owner: OwnerSettings = builder.owner
}

/** Builds [NodeSettings]. */
public class NodeSettingsBuilder internal constructor(internal val self: Member) {
    /** Base addresses of hosts to ask first. None by default. */
    public var seedUrls: List<String> = emptyList()

    /** Seed of the node's random numbers. 1 by default. */
    public var seed: Long = 1

    /** How many hosts wait for changes at the platform. 3 by default. */
    public var watchers: Int = 3

    /** Time between two messages of service totals, in milliseconds. 2,000 by default. */
    public var totalsMillis: Long = 2_000

    /** Times and bounds of the exchange of heartbeats. */
    public var membership: MembershipSettings = MembershipSettings()

    /** Times and bounds of this host's side of each pool. */
    public var holder: HolderSettings = HolderSettings()

    /** Times of the pools that this host owns. */
    public var owner: OwnerSettings = OwnerSettings()
}

/**
 * Builds the settings of the node [self].
 *
 * ```kotlin
 * val settings = buildNodeSettings(self) { seedUrls = listOf("http://127.0.0.1:8001") }
 * ```
 */
public fun buildNodeSettings(self: Member, configure: NodeSettingsBuilder.() -> Unit = {}): NodeSettings =
    NodeSettings(NodeSettingsBuilder(self).apply(configure))
