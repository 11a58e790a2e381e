package buckthornbay.store

import buckthornbay.protocol.RequestId
import buckthornbay.protocol.WireJson
import buckthornbay.protocol.WorkspaceId
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.apache.commons.codec.digest.DigestUtils

/** The outcome of claiming an idempotency key. */
public sealed interface ClaimOutcome {
    /** This request holds the key and may be sent once. */
    public data object Granted : ClaimOutcome

    /** Another request, [holder], already claimed the key and may have run. */
    public data class Taken(public val holder: RequestId) : ClaimOutcome

    /** The store could not confirm the claim, so the request must not be sent. */
    public data class Unclear(public val reason: String) : ClaimOutcome
}

/**
 * Exclusive claims of idempotency keys in the platform's store.
 *
 * Of all requests of a workspace with the same key, at most one is ever sent, by any host. A claim is a conditional create. If
 * its response is lost, the holder of the key is read back. Claims do not expire.
 */
public class KeyClaims(private val store: ObjectStore) {
    /** Claims [key] of [workspace] for the request [id]. */
    public suspend fun claim(workspace: WorkspaceId, key: String, id: RequestId): ClaimOutcome {
        val name = "claim-" + DigestUtils.sha256Hex("$workspace|$key")
        val value = WireJson.encodeToString(ClaimObject.serializer(), ClaimObject(id))
        return store.write(name, value, expectedVersion = 0).fold(
            success = { ClaimOutcome.Granted },
            failure = { error -> resolveFailure(name, id, error) },
        )
    }

    private suspend fun resolveFailure(name: String, id: RequestId, error: StoreError): ClaimOutcome = when (error) {
        is StoreError.Conflict, is StoreError.OutcomeUnknown -> readBack(name, id)
        else -> ClaimOutcome.Unclear(error.toString())
    }

    private suspend fun readBack(name: String, id: RequestId): ClaimOutcome {
        repeat(READ_BACK_ATTEMPTS) { attempt ->
            val stored = store.read(name).getOrElse { null }
            if (stored != null) {
                val holder = WireJson.decodeFromString(ClaimObject.serializer(), stored.value).holder
                return if (holder == id) ClaimOutcome.Granted else ClaimOutcome.Taken(holder)
            }
            delay(READ_BACK_DELAY_MILLIS * (attempt + 1))
        }
        return ClaimOutcome.Unclear("the response to the claim was lost and the key can't be read back")
    }

    private companion object {
        const val READ_BACK_ATTEMPTS = 3
        const val READ_BACK_DELAY_MILLIS = 100L
    }
}

@Serializable
internal data class ClaimObject(val holder: RequestId)
