package buckthornbay.core.node

import buckthornbay.core.pool.HolderEffect
import buckthornbay.protocol.HostId
import buckthornbay.protocol.PeerMessage
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.VersionedState

/** An action that a [RouterNode] asks its process to perform. */
public sealed interface NodeEffect {
    /** Sends [messages] to the host at [url]; [host] is null if its id is not known yet. */
    public data class Send(public val url: String, public val host: HostId?, public val messages: List<PeerMessage>) : NodeEffect

    /** Performs the [effect] of the scheduler of [pool] on a request. */
    public data class Request(public val pool: PoolId, public val effect: HolderEffect) : NodeEffect

    /** Fetches the desired state of at least [version] from the peer at [url]. */
    public data class FetchState(public val url: String, public val version: Long) : NodeEffect

    /** Makes [state] the desired state that the process uses. */
    public data class ApplyState(public val state: VersionedState) : NodeEffect

    /** Starts or stops watching the platform for changes of the desired state. */
    public data class Watch(public val watching: Boolean) : NodeEffect

    /** Logs a placement [decision]. */
    public data class LogDecision(public val decision: String) : NodeEffect
}
