package buckthornbay.core.node

import buckthornbay.core.pool.HolderEffect
import buckthornbay.protocol.HostId
import buckthornbay.protocol.PeerMessage
import buckthornbay.protocol.PoolId
import buckthornbay.protocol.VersionedState

/** What a [RouterNode] wants done by the process around it. */
public sealed interface NodeEffect {
    /** Send [messages] to the host at [url]; [host] is null where it is not known yet. */
    public data class Send(public val url: String, public val host: HostId?, public val messages: List<PeerMessage>) : NodeEffect

    /** Carry out what the host's side of [pool] decided about a request. */
    public data class Request(public val pool: PoolId, public val effect: HolderEffect) : NodeEffect

    /** Fetch the desired state of at least [version] from the peer at [url]. */
    public data class FetchState(public val url: String, public val version: Long) : NodeEffect

    /** [state] is in force from now on. */
    public data class StateInForce(public val state: VersionedState) : NodeEffect

    /** Begin or stop waiting for changes at the platform. */
    public data class Watch(public val watching: Boolean) : NodeEffect

    /** Write a log line about a placement decision. */
    public data class LogDecision(public val decision: String) : NodeEffect
}
