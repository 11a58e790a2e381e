package buckthornbay.router.gateway

import java.net.InetSocketAddress

/** Returns the socket address that [address] writes as `IP:PORT`. */
internal fun socketAddressOf(address: String): InetSocketAddress =
    InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
