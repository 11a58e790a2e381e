package buckthornbay.router

import buckthornbay.protocol.EnvelopeEncoder
import buckthornbay.protocol.PeerEnvelope
import io.ktor.client.HttpClient
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** A long-lived request to a peer, whose body is a stream of envelopes; it ends when it fails, becomes idle or is closed. */
internal class PeerLink(
    private val url: String,
    private val fleetKey: String,
    private val client: HttpClient,
    private val countBytes: (Int) -> Unit,
) {
    private val outgoing = Channel<PeerEnvelope>(QUEUE_LENGTH)
    private var job: Job? = null

    /** Whether this link accepts envelopes. */
    val isOpen: Boolean get() = job?.isActive == true

    /** Opens the link; [onFailure] is called if the connection fails, but not if the link becomes idle or is closed. */
    fun open(scope: CoroutineScope, onFailure: () -> Unit) {
        job = scope.launch {
            try {
                client.post("$url/internal/v1/stream") {
                    bearerAuth(fleetKey)
                    setBody(Body())
                }
            } catch (e: CancellationException) {
                throw e
            } catch (_: IOException) {
                onFailure()
            }
        }
    }

    /** Queues [envelope] for sending; returns false if the link is closed or its queue is full. */
    fun send(envelope: PeerEnvelope): Boolean = isOpen && outgoing.trySend(envelope).isSuccess

    fun close() {
        job?.cancel()
    }

    private inner class Body : OutgoingContent.WriteChannelContent() {
        override val contentType: ContentType = ContentType.Application.OctetStream

        override suspend fun writeTo(channel: ByteWriteChannel): Unit = EnvelopeEncoder().use { encoder ->
            while (true) {
                val envelope = withTimeoutOrNull(IDLE_MILLIS) { outgoing.receive() } ?: return
                val bytes = encoder.encode(envelope)
                channel.writeFully(bytes)
                channel.flush()
                countBytes(bytes.size + CHUNK_OVERHEAD_BYTES)
            }
        }
    }

    private companion object {
        const val QUEUE_LENGTH = 256
        const val IDLE_MILLIS = 30_000L

        /** Estimated framing overhead of a chunk in a chunked body, in bytes. */
        const val CHUNK_OVERHEAD_BYTES = 8
    }
}
