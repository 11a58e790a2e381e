package buckthornbay.router.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs [task], which loops until it is cancelled; starts it again if it throws.
 *
 * Without its loops a host would go on serving with what it knew at the time, so a fault in one round must not end them.
 */
internal fun CoroutineScope.launchLoop(name: String, log: DecisionLog, task: suspend () -> Unit) = launch {
    while (true) {
        try {
            task()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.warning("event=task_failed task=$name reason=\"$e\"")
        }
        delay(RESTART_DELAY_MILLIS.milliseconds)
    }
}

/** Delay before a failed task starts again, in milliseconds; bounds the log lines of a fault that lasts. */
private const val RESTART_DELAY_MILLIS = 200L
