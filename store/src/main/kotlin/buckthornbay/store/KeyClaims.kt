package buckthornbay.store

import buckthornbay.protocol.RequestId
import buckthornbay.protocol.WireJson
import buckthornbay.protocol.WorkspaceId
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.apache.commons.codec.digest.DigestUtils

/** What claiming an idempotency key brought. */
public sealed interface ClaimOutcome {
    /** The key is this request's; it may be sent once. */
    public data object Granted : ClaimOutcome

    /** Another request, [holder], claimed the key before; it may have run. */
    public data class Taken(public val holder: RequestId) : ClaimOutcome

    /** The platform does not say; the request must not be sent. */
    public data class Unknown(public val reason: String) : ClaimOutcome
}

/**
 * Claims idempotency keys in the platform, so that of all requests with one key, on all hosts and for all time, one is sent.
 *
 * A claim is a conditional create; one whose reply was lost is settled by reading back who holds the key.
 */
public class KeyClaims(private val store: ObjectStore) {
    /** Claims [key] of [workspace] for the request [id]. */
    public suspend fun claim(workspace: WorkspaceId, key: String, id: RequestId): ClaimOutcome {
        val name = "claim-" + DigestUtils.sha256Hex("$workspace|$key")
        val value = WireJson.encodeToString(ClaimObject.serializer(), ClaimObject(id))
        return store.write(name, value, expectedVersion = 0).fold(
            success = { ClaimOutcome.Granted },
            failure = { error -> afterFailure(name, id, error) },
        )
    }

    private suspend fun afterFailure(name: String, id: RequestId, error: StoreError): ClaimOutcome = when (error) {
        is StoreError.Conflict, is StoreError.OutcomeUnknown -> settle(name, id)
        else -> ClaimOutcome.Unknown(error.toString())
    }

    private suspend fun settle(name: String, id: RequestId): ClaimOutcome {
        repeat(READ_BACK_ATTEMPTS) { attempt ->
            val stored = store.read(name).getOrElse { null }
            if (stored != null) {
                val holder = WireJson.decodeFromString(ClaimObject.serializer(), stored.value).holder
                return if (holder == id) ClaimOutcome.Granted else ClaimOutcome.Taken(holder)
            }
            delay(READ_BACK_MILLIS * (attempt + 1))
        }
        return ClaimOutcome.Unknown("the claim's reply was lost and the key can't be read back")
    }

    private companion object {
        const val READ_BACK_ATTEMPTS = 3
        const val READ_BACK_MILLIS = 100L
    }
}

@Serializable
internal data class ClaimObject(val holder: RequestId)
