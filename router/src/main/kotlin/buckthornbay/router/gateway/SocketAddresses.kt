package buckthornbay.router.gateway

import java.net.InetSocketAddress

/** Parses [address], which has the form `IP:PORT`. */
internal fun socketAddressOf(address: String): InetSocketAddress =
    InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
