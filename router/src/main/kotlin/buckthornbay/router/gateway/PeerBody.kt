package buckthornbay.router.gateway

import buckthornbay.protocol.WireJson
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException

/**
 * Reads the [body] that [peer] sent; returns null, and says why in [log], where it can't be read.
 *
 * Which peer called is known only from what it sent, so a call's body names none.
 */
internal fun <T : Any> readPeerBody(
    deserializer: DeserializationStrategy<T>,
    body: String,
    log: DecisionLog,
    peer: String = "unnamed",
): T? = try {
    WireJson.decodeFromString(deserializer, body)
} catch (e: SerializationException) {
    log.warning("event=peer_unreadable peer=$peer reason=\"${e.message}\"")
    null
}
