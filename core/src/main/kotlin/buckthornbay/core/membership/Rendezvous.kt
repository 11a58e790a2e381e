package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import org.apache.commons.codec.digest.MurmurHash3

/**
 * Ranks [hosts] for [key] by rendezvous hashing; the first host owns the key.
 *
 * Hosts with the same membership view compute the same order. When a host leaves, only the keys that it owned change their owner.
 */
public fun rendezvousOrder(key: String, hosts: Collection<HostId>): List<HostId> = rendezvousOrder(key, hosts) { it.value }

/** Ranks [nodes] for [key] by rendezvous hashing, identifying each node by its [nameOf]. */
public fun <T> rendezvousOrder(key: String, nodes: Collection<T>, nameOf: (T) -> String): List<T> = nodes
    .map { node -> Ranked(node, nameOf(node), scoreOf(key, nameOf(node))) }
    .sortedWith(compareByDescending<Ranked<T>> { it.score }.thenBy { it.name })
    .map { it.node }

private class Ranked<T>(val node: T, val name: String, val score: Long)

private fun scoreOf(key: String, name: String): Long {
    val bytes = "$key|$name".encodeToByteArray()
    return MurmurHash3.hash128x64(bytes, 0, bytes.size, 0)[0]
}
