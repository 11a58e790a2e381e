package buckthornbay.router.gateway

import buckthornbay.protocol.WireJson
import buckthornbay.protocol.withLimitedNesting
import kotlinx.serialization.DeserializationStrategy

/**
 * Decodes the [body] of a message from [peer]; returns null and logs the reason if that fails.
 *
 * The sender of a request is named only in its body, so [peer] is given only for responses.
 */
internal fun <T : Any> readPeerBody(
    deserializer: DeserializationStrategy<T>,
    body: String,
    log: DecisionLog,
    peer: String = "unnamed",
): T? = try {
    WireJson.decodeFromString(deserializer, body.withLimitedNesting())
} catch (e: IllegalArgumentException) {
    log.warning("event=peer_unreadable peer=$peer reason=\"${e.message}\"")
    null
}
