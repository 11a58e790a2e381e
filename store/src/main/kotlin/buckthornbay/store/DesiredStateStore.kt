package buckthornbay.store

import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.VersionedState
import buckthornbay.protocol.WireJson
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/** A store for the desired state, which is kept as one versioned object in the platform's [store]. */
public class DesiredStateStore(private val store: ObjectStore, private val name: String = "desired-state") {
    /** Reads the desired state; null if none was applied yet. */
    public suspend fun read(): Result<VersionedState?, StoreError> = store.read(name).map { it?.toState() }

    /** Waits up to [timeoutMillis] for a state newer than [afterVersion]; null if there is none by then. */
    public suspend fun watch(afterVersion: Long, timeoutMillis: Long): Result<VersionedState?, StoreError> =
        store.watch(name, afterVersion, timeoutMillis).map { it?.toState() }

    /**
     * Replaces the state of version [expectedVersion] with [state] and returns the new version.
     *
     * If the response is lost, the state is read back. The change took effect if the stored state has this [applyId], so that
     * every change is reported exactly once.
     */
    public suspend fun apply(state: DesiredState, expectedVersion: Long, applyId: String): Result<Long, StoreError> {
        val value = WireJson.encodeToString(StateObject.serializer(), StateObject(applyId, state))
        val written = store.write(name, value, expectedVersion)
        val error = written.getOrElse { it }
        if (error !is StoreError.OutcomeUnknown) return written
        return resolveUnknownOutcome(error, value, expectedVersion, applyId)
    }

    private suspend fun resolveUnknownOutcome(
        unknownOutcome: StoreError.OutcomeUnknown,
        value: String,
        expectedVersion: Long,
        applyId: String,
    ): Result<Long, StoreError> {
        val current = readWithRetries().getOrElse { return Err(unknownOutcome) }
        return when {
            current?.applyId == applyId -> Ok(current.version)
            (current?.version ?: 0) != expectedVersion -> Err(StoreError.Conflict(current?.version ?: 0))
            else -> store.write(name, value, expectedVersion)
        }
    }

    private suspend fun readWithRetries(): Result<VersionedState?, StoreError> {
        var result = read()
        for (attempt in 1..READ_BACK_ATTEMPTS) {
            if (result.isOk) return result
            delay(READ_BACK_DELAY_MILLIS.milliseconds * attempt)
            result = read()
        }
        return result
    }

    private fun StoredObject.toState(): VersionedState {
        val stored = WireJson.decodeFromString(StateObject.serializer(), value)
        return VersionedState(version, stored.applyId, stored.state)
    }

    private companion object {
        const val READ_BACK_ATTEMPTS = 5
        const val READ_BACK_DELAY_MILLIS = 200L
    }
}

@Serializable
internal data class StateObject(val applyId: String, val state: DesiredState)
