package buckthornbay.router

import buckthornbay.store.DesiredStateStore
import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlin.test.Test

class LostStateWatchTest {
    /** Guards against hosts that wait for the responses to watches which the platform has lost. */
    @Test
    fun aConfigurationAfterLostWatchesIsInForceWithinSeconds() = withFleet {
        delay(SETTLE_MILLIS)
        standIns.store.loseWatches()
        val withdrawn = standIns.state.run { copy(workspaces = workspaces.filterNot { it.id.value == "a" }) }
        DesiredStateStore(standIns.store).apply(withdrawn, expectedVersion = 1, applyId = "second").getOrElse { error("$it") }
        withTimeout(LIMIT_MILLIS) {
            for (url in urls) while (complete(url, stream = false).status != HttpStatusCode.Forbidden) delay(POLL_MILLIS)
        }
    }

    private companion object {
        /** Time until the hosts have the first configuration and watch for the next one, in milliseconds. */
        const val SETTLE_MILLIS = 500L

        /** Time within which an accepted configuration must be in force, in milliseconds. */
        const val LIMIT_MILLIS = 5_000L
        const val POLL_MILLIS = 50L
    }
}
