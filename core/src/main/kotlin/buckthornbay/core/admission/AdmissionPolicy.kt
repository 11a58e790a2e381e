package buckthornbay.core.admission

import buckthornbay.core.routing.Route
import org.apache.commons.rng.UniformRandomProvider

/**
 * How long a request may wait at this host, and when a caller that is turned away should come back.
 *
 * It answers load beyond capacity that lasts longer than an objective: a request that would only be answered late gives its
 * place to one that can still be answered in time, and hears so at once.
 */
public class AdmissionPolicy(
    private val random: UniformRandomProvider,
    private val settings: AdmissionSettings = AdmissionSettings(),
) {
    /**
     * Returns until when a request may wait, in milliseconds.
     *
     * One that can't be on time any more may wait longer, because only load that falls can help it.
     */
    public fun queueUntilMillis(route: Route, rank: WaitingRank, arrivedAtMillis: Long, deadlineAtMillis: Long): Long {
        val latestMillis = deadlineAtMillis - settings.leastServiceMillis
        val limitMillis = if (rank == WaitingRank.LATE) {
            arrivedAtMillis + ((deadlineAtMillis - arrivedAtMillis) * settings.lateWaitingPart).toLong()
        } else {
            arrivedAtMillis + (objectiveOf(route) * settings.waitingPart).toLong()
        }
        return minOf(limitMillis, latestMillis)
    }

    /** Returns until when a request may wait that an upstream failed, in milliseconds; its caller has begun to be served. */
    public fun retryQueueUntilMillis(nowMillis: Long, deadlineAtMillis: Long): Long =
        minOf(nowMillis + settings.repeatWaitMillis, deadlineAtMillis - settings.leastServiceMillis)

    /** Returns until when a request may hold out for the upstream that is best for all, in milliseconds. */
    public fun waitForBestUntilMillis(route: Route, arrivedAtMillis: Long): Long =
        arrivedAtMillis + (objectiveOf(route) * settings.patientPart).toLong()

    /**
     * Returns after which time a caller should come back that has [leftMillis] left, in milliseconds.
     *
     * Callers are spread over the time that they can wait, so that those who were turned away together don't return together.
     */
    public fun retryAfterMillis(route: Route, leftMillis: Long): Double {
        val longestMillis = (leftMillis * settings.callerPatience).coerceAtLeast(0.0)
        val shortestMillis = minOf(objectiveOf(route) * settings.shortestReturn, longestMillis)
        return shortestMillis + random.nextDouble() * (longestMillis - shortestMillis)
    }

    /** A route without an objective is on time until its time limit. */
    private fun objectiveOf(route: Route): Long = route.objectiveMillis ?: route.timeoutMillis
}

/**
 * Constants of [AdmissionPolicy].
 *
 * @property waitingPart part of a route's objective that may be spent waiting; the rest is for reading the prompt, which takes
 * two thirds of an objective when many prompts are read beside it.
 * @property lateWaitingPart part of its remaining time that a request may wait which is late anyway; the rest is for its
 * answer.
 * @property repeatWaitMillis time that a request may wait after an upstream failed it, in milliseconds: callers give a stream up
 * after a pause of two seconds.
 * @property patientPart part of a route's objective that may be spent waiting for one upstream while others have room; half of
 * [waitingPart], so that a request which has waited in vain still has time to go elsewhere.
 * @property leastServiceMillis time that must be left for serving, in milliseconds.
 * @property callerPatience part of its remaining time that a caller spends on waiting for its return, at most.
 * @property shortestReturn part of the objective before which a return finds the same load.
 */
public data class AdmissionSettings(
    public val waitingPart: Double = 0.3,
    public val lateWaitingPart: Double = 0.05,
    public val repeatWaitMillis: Long = 1_500,
    public val patientPart: Double = 0.15,
    public val leastServiceMillis: Long = 100,
    public val callerPatience: Double = 0.3,
    public val shortestReturn: Double = 0.5,
)
