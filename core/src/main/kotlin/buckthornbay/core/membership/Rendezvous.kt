package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import org.apache.commons.codec.digest.MurmurHash3

/**
 * Ranks [hosts] for [key] by rendezvous hashing, the first in charge.
 *
 * Every host that knows the same members gets the same order, and a host that leaves moves only the keys that it was first for.
 */
public fun rendezvousOrder(key: String, hosts: Collection<HostId>): List<HostId> =
    hosts.sortedWith(compareByDescending<HostId> { scoreOf(key, it) }.thenBy { it.value })

private fun scoreOf(key: String, host: HostId): Long {
    val bytes = "$key|${host.value}".encodeToByteArray()
    return MurmurHash3.hash128x64(bytes, 0, bytes.size, 0)[0]
}
