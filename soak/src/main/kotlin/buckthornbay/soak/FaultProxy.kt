package buckthornbay.soak

import buckthornbay.testkit.platform.LoopbackListener
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** What a [FaultProxy] does with the bytes that pass it. */
public enum class LinkFault {
    /** They pass. */
    NONE,

    /** They pass a little later. */
    DELAYED,

    /** They are swallowed in both directions; nothing is closed. */
    SILENT,

    /** They are swallowed on the way back only. */
    ONE_WAY,

    /** New connections are closed at once. */
    REFUSED,
}

/** A loopback proxy before [target] that delays, swallows and resets connections. */
public class FaultProxy(private val target: String) : AutoCloseable {
    private class Link(val near: Socket, val far: Socket)

    private val links = CopyOnWriteArrayList<Link>()

    /** What is done with bytes now. */
    @Volatile
    public var fault: LinkFault = LinkFault.NONE

    private val listener = LoopbackListener { near -> if (fault == LinkFault.REFUSED) near.close() else open(near) }

    /** Where the proxy listens, as `IP:PORT`. */
    public val address: String = listener.address

    /** Resets every open connection. */
    public fun resetAll() {
        links.forEach { link ->
            listOf(link.near, link.far).forEach { socket ->
                runCatching { socket.setSoLinger(true, 0) }
                socket.close()
            }
        }
        links.clear()
    }

    override fun close() {
        listener.close()
        resetAll()
    }

    private fun open(near: Socket) {
        val far = try {
            Socket("127.0.0.1", target.substringAfterLast(':').toInt())
        } catch (_: IOException) {
            near.close()
            return
        }
        links += Link(near, far)
        thread(isDaemon = true) { pump(near, far, back = false) }
        thread(isDaemon = true) { pump(far, near, back = true) }
    }

    private fun pump(from: Socket, to: Socket, back: Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                val now = fault
                if (now == LinkFault.DELAYED) Thread.sleep(DELAY_MILLIS)
                val swallowed = now == LinkFault.SILENT || (now == LinkFault.ONE_WAY && back)
                if (!swallowed) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // A broken side is passed on by closing the other one.
        }
        from.close()
        to.close()
    }

    private companion object {
        const val BUFFER_BYTES = 16_384

        /** Delay of a slow link, in milliseconds: some round trips between regions. */
        const val DELAY_MILLIS = 60L
    }
}
