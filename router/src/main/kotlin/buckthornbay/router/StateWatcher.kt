package buckthornbay.router

import buckthornbay.protocol.UpstreamId
import buckthornbay.store.DesiredStateStore
import buckthornbay.store.HostList
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** A watcher of the platform's desired state and host list, active while this host is one of the selected watchers. */
internal class StateWatcher(
    private val states: DesiredStateStore,
    private val hosts: HostList,
    private val loop: NodeLoop,
    private val scope: CoroutineScope,
) {
    private var job: Job? = null

    fun setWatching(watching: Boolean) {
        job?.cancel()
        job = if (watching) scope.launch { watch() } else null
    }

    private suspend fun watch(): Unit = coroutineScope {
        launch { watchHosts() }
        watchState()
    }

    private suspend fun watchState() {
        var backoffMillis = MIN_BACKOFF_MILLIS
        while (true) {
            val version = loop.ask { node, _ -> node.state?.version ?: 0 }
            states.watch(version, WATCH_MILLIS)
                .onSuccess { state ->
                    backoffMillis = MIN_BACKOFF_MILLIS
                    if (state != null) loop.post { node, now -> node.offerState(now, state) }
                }
                .onFailure { error ->
                    log.warn { "platform watch failed: $error; retrying after at least $backoffMillis ms" }
                    delay(backoffMillis + Random.nextLong(backoffMillis))
                    backoffMillis = minOf(backoffMillis * 2, MAX_BACKOFF_MILLIS)
                }
        }
    }

    private suspend fun watchHosts() {
        while (true) {
            hosts.read().onSuccess { listed ->
                val leaving = listed.filter { it.upstream && it.leaving }.mapTo(HashSet()) { UpstreamId(it.name) }
                loop.post { node, now -> node.setLeavingUpstreams(now, leaving) }
            }
            delay(HOST_LIST_MILLIS)
        }
    }

    private companion object {
        /**
         * Wait of a watch, in milliseconds; with the time limit of a call, a watch whose response was lost ends within the few
         * seconds in which a configuration must be in force.
         */
        const val WATCH_MILLIS = 2_000L
        const val HOST_LIST_MILLIS = 1_000L
        const val MIN_BACKOFF_MILLIS = 100L

        /** Longest backoff after a failed watch, half of the wait until the next one, in milliseconds. */
        const val MAX_BACKOFF_MILLIS = 1_000L
    }
}
