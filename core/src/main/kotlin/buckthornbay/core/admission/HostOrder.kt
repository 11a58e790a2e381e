package buckthornbay.core.admission

import buckthornbay.protocol.Member
import buckthornbay.protocol.ZoneId

/** The live hosts of the fleet in an order that all of them share. */
public interface HostOrder {
    /** Number of live hosts, with this one. */
    public val count: Int

    /** Number of live hosts before this one. */
    public val precedingCount: Int

    /** Returns whether [source] of reported work, a host or a group of hosts, comes before this host. */
    public fun precedes(source: String): Boolean
}

/**
 * The order by availability zone, then by host id; groups of hosts are named as in [AccountsAggregation].
 *
 * @param liveMembers live hosts of the fleet, with [self].
 */
public class ZoneHostOrder(private val self: Member, private val liveMembers: () -> List<Member>) : HostOrder {
    override val count: Int get() = liveMembers().size
    override val precedingCount: Int get() = liveMembers().count(::precedesSelf)

    override fun precedes(source: String): Boolean {
        val zone = HostGroup.zoneOf(source)
        return when {
            zone == null -> liveMembers().any { it.host.value == source && precedesSelf(it) }
            zone == self.zone.value -> source == HostGroup.before(self.zone)
            else -> zone < self.zone.value
        }
    }

    private fun precedesSelf(member: Member): Boolean = compareValuesBy(member, self, { it.zone.value }, { it.host.value }) < 0
}

/** Names of groups of hosts as sources of accounts. */
internal object HostGroup {
    private const val PREFIX = "zone:"
    private const val BEFORE = ":before"
    private const val AFTER = ":after"

    /** All hosts of [zone]. */
    fun all(zone: ZoneId): String = "$PREFIX$zone"

    /** The hosts of [zone] before the one that gets the accounts. */
    fun before(zone: ZoneId): String = all(zone) + BEFORE

    /** The hosts of [zone] after the one that gets the accounts. */
    fun after(zone: ZoneId): String = all(zone) + AFTER

    /** Returns the zone of the group [source], or null if it is a single host. */
    fun zoneOf(source: String): String? =
        if (source.startsWith(PREFIX)) source.removePrefix(PREFIX).removeSuffix(BEFORE).removeSuffix(AFTER) else null
}
