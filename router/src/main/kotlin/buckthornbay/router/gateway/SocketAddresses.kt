package buckthornbay.router.gateway

import io.netty.util.NetUtil
import java.net.InetAddress
import java.net.InetSocketAddress

/**
 * Parses [address], which has the form `IP:PORT`.
 *
 * Names are not looked up, because that would block the event loop.
 *
 * @throws IllegalArgumentException if [address] has another form.
 */
internal fun socketAddressOf(address: String): InetSocketAddress {
    val ip = NetUtil.createByteArrayFromIpAddressString(address.substringBeforeLast(':'))
    val port = address.substringAfterLast(':', "").toIntOrNull()
    require(ip != null && port != null && port in VALID_PORTS) { "'$address' is not of the form IP:PORT" }
    return InetSocketAddress(InetAddress.getByAddress(ip), port)
}

private val VALID_PORTS = 0..65_535
