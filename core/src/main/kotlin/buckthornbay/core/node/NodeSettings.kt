package buckthornbay.core.node

import buckthornbay.core.membership.MembershipSettings
import buckthornbay.core.pool.HolderSettings
import buckthornbay.core.pool.OwnerSettings
import buckthornbay.protocol.Member
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource

/**
 * Settings of a [RouterNode].
 *
 * @property self this host as announced to its peers; its incarnation is the start number of the process.
 * @property seedUrls base URLs of the hosts to contact first.
 * @property random the only source of randomness in the node's decisions.
 * @property watchers number of hosts of the fleet that watch the platform for changes of the desired state.
 * @property totalsIntervalMillis interval between messages with service totals to the owners of other pools, in milliseconds.
 */
public class NodeSettings internal constructor(builder: NodeSettingsBuilder) {
    public val self: Member = builder.self
    public val seedUrls: List<String> = builder.seedUrls
    public val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(builder.seed)
    public val watchers: Int = builder.watchers
    public val totalsIntervalMillis: Long = builder.totalsIntervalMillis
    public val membership: MembershipSettings = builder.membership
    public val holder: HolderSettings = builder.holder
    public val owner: OwnerSettings = builder.owner
}

/** A builder of [NodeSettings]. */
public class NodeSettingsBuilder internal constructor(internal val self: Member) {
    /** Base URLs of the hosts to contact first. None by default. */
    public var seedUrls: List<String> = emptyList()

    /** Seed of the node's random number generator. 1 by default. */
    public var seed: Long = 1

    /** Number of hosts that watch the platform for changes of the desired state. 3 by default. */
    public var watchers: Int = 3

    /** Interval between messages with service totals, in milliseconds. 2,000 by default. */
    public var totalsIntervalMillis: Long = 2_000

    /** Intervals and limits of the membership protocol. */
    public var membership: MembershipSettings = MembershipSettings()

    /** Intervals and limits of this host's scheduler for each pool. */
    public var holder: HolderSettings = HolderSettings()

    /** Intervals of the pools that this host owns. */
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
