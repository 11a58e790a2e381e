package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import org.apache.commons.codec.digest.MurmurHash3

/**
 * Ranks [hosts] for [key] by rendezvous hashing, the first in charge.
 *
 * Every host that knows the same members gets the same order, and a host that leaves moves only the keys that it was first for.
 */
public fun rendezvousOrder(key: String, hosts: Collection<HostId>): List<HostId> = rendezvousOrder(key, hosts) { it.value }

/** Ranks [nodes] for [key] as the other function does hosts, by the names that [nameOf] gives them. */
public fun <T> rendezvousOrder(key: String, nodes: Collection<T>, nameOf: (T) -> String): List<T> = nodes
    .map { node -> Ranked(node, nameOf(node), scoreOf(key, nameOf(node))) }
    .sortedWith(compareByDescending<Ranked<T>> { it.score }.thenBy { it.name })
    .map { it.node }

private class Ranked<T>(val node: T, val name: String, val score: Long)

private fun scoreOf(key: String, name: String): Long {
    val bytes = "$key|$name".encodeToByteArray()
    return MurmurHash3.hash128x64(bytes, 0, bytes.size, 0)[0]
}
