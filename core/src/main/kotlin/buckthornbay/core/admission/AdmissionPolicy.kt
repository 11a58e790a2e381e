package buckthornbay.core.admission

import buckthornbay.core.routing.Route
import org.apache.commons.rng.UniformRandomProvider

/**
 * The policy for how long a request may stay queued at this host and when a refused caller should retry.
 *
 * During an overload that lasts longer than a latency objective, a request that can no longer meet its objective is refused
 * early, so that its place in the queue goes to one that still can.
 */
public class AdmissionPolicy(
    private val random: UniformRandomProvider,
    private val settings: AdmissionSettings = AdmissionSettings(),
) {
    /**
     * Returns the time until which a request may stay queued, in milliseconds.
     *
     * A request that has already missed its objective may wait longer, as it is served only once the load falls: its limit is a
     * fraction of the time to its deadline instead of the objective.
     */
    public fun queueUntilMillis(route: Route, rank: WaitingRank, arrivedAtMillis: Long, deadlineAtMillis: Long): Long {
        val latestMillis = deadlineAtMillis - settings.minServiceMillis
        val limitMillis = if (rank == WaitingRank.LATE) {
            arrivedAtMillis + ((deadlineAtMillis - arrivedAtMillis) * settings.lateQueueFraction).toLong()
        } else {
            arrivedAtMillis + (objectiveOf(route) * settings.queueFraction).toLong()
        }
        return minOf(limitMillis, latestMillis)
    }

    /**
     * Returns the time until which a request may stay queued for a retry after an upstream failed, in milliseconds.
     *
     * The limit counts from now instead of the arrival, because the caller is already being served.
     */
    public fun retryQueueUntilMillis(nowMillis: Long, deadlineAtMillis: Long): Long =
        minOf(nowMillis + settings.retryQueueMillis, deadlineAtMillis - settings.minServiceMillis)

    /** Returns the time until which a request may wait for the best upstream while others have room, in milliseconds. */
    public fun waitForBestUntilMillis(route: Route, arrivedAtMillis: Long): Long =
        arrivedAtMillis + (objectiveOf(route) * settings.waitForBestFraction).toLong()

    /**
     * Returns the delay after which a refused caller should retry if its remaining time is [leftMillis], in milliseconds.
     *
     * The delay is random, so that callers refused at the same time don't retry at the same time.
     */
    public fun retryAfterMillis(route: Route, leftMillis: Long): Double {
        val maxDelayMillis = (leftMillis * settings.maxRetryDelayFraction).coerceAtLeast(0.0)
        val minDelayMillis = minOf(objectiveOf(route) * settings.minRetryDelayFraction, maxDelayMillis)
        return minDelayMillis + random.nextDouble() * (maxDelayMillis - minDelayMillis)
    }

    /**
     * Returns the delay after which a caller should retry that was refused because nothing can be served for [pauseMillis].
     *
     * The delay is random beyond the pause, so that callers refused during it don't all retry at its end.
     */
    public fun retryAfterPauseMillis(route: Route, pauseMillis: Long): Double =
        pauseMillis + random.nextDouble() * objectiveOf(route) * settings.minRetryDelayFraction

    /** Returns the latency objective of [route]; its timeout if it has none. */
    private fun objectiveOf(route: Route): Long = route.objectiveMillis ?: route.timeoutMillis
}

/**
 * Constants of [AdmissionPolicy].
 *
 * @property queueFraction fraction of a route's objective that a request may spend in the queue; the rest is for prefill,
 * which takes two thirds of an objective when many prompts are prefilled concurrently.
 * @property lateQueueFraction fraction of the time to its deadline that a request may spend in the queue after it missed its
 * objective; the rest is for the response.
 * @property retryQueueMillis time that a request may spend in the queue after an upstream failed, in milliseconds; callers
 * abandon a stream after a pause of two seconds.
 * @property waitForBestFraction fraction of a route's objective that a request may wait for the best upstream while others
 * have room; half of [queueFraction], so that there is time left to use another upstream.
 * @property minServiceMillis minimum time reserved for serving a request before its deadline, in milliseconds.
 * @property maxRetryDelayFraction maximum delay of a caller's retry, as a fraction of its remaining time.
 * @property minRetryDelayFraction minimum delay of a caller's retry, as a fraction of the objective; an earlier retry would
 * meet the same load.
 */
public data class AdmissionSettings(
    public val queueFraction: Double = 0.3,
    public val lateQueueFraction: Double = 0.05,
    public val retryQueueMillis: Long = 1_500,
    public val waitForBestFraction: Double = 0.15,
    public val minServiceMillis: Long = 100,
    public val maxRetryDelayFraction: Double = 0.3,
    public val minRetryDelayFraction: Double = 0.5,
)
