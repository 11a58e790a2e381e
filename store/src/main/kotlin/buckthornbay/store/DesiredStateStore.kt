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

/** The desired state as one versioned object of the platform. */
public class DesiredStateStore(private val store: ObjectStore, private val name: String = "desired-state") {
    /** Reads the state; null where none was ever applied. */
    public suspend fun read(): Result<VersionedState?, StoreError> = store.read(name).map { it?.toState() }

    /** Waits for a state newer than [afterVersion]; null where none comes in [timeoutMillis]. */
    public suspend fun watch(afterVersion: Long, timeoutMillis: Long): Result<VersionedState?, StoreError> =
        store.watch(name, afterVersion, timeoutMillis).map { it?.toState() }

    /**
     * Replaces the state of [expectedVersion] by [state] and returns the new version.
     *
     * Where the reply is lost, the stored [applyId] settles whether the change took effect, so that it is reported exactly
     * once.
     */
    public suspend fun apply(state: DesiredState, expectedVersion: Long, applyId: String): Result<Long, StoreError> {
        val value = WireJson.encodeToString(StateObject.serializer(), StateObject(applyId, state))
        val written = store.write(name, value, expectedVersion)
        val error = written.getOrElse { it }
        if (error !is StoreError.OutcomeUnknown) return written
        return settle(error, value, expectedVersion, applyId)
    }

    private suspend fun settle(
        lost: StoreError.OutcomeUnknown,
        value: String,
        expectedVersion: Long,
        applyId: String,
    ): Result<Long, StoreError> {
        val current = readPatiently().getOrElse { return Err(lost) }
        return when {
            current?.applyId == applyId -> Ok(current.version)
            (current?.version ?: 0) != expectedVersion -> Err(StoreError.Conflict(current?.version ?: 0))
            else -> store.write(name, value, expectedVersion)
        }
    }

    private suspend fun readPatiently(): Result<VersionedState?, StoreError> {
        var result = read()
        for (attempt in 1..READ_BACK_ATTEMPTS) {
            if (result.isOk) return result
            delay(READ_BACK_MILLIS.milliseconds * attempt)
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
        const val READ_BACK_MILLIS = 200L
    }
}

@Serializable
internal data class StateObject(val applyId: String, val state: DesiredState)
