package buckthornbay.core.membership

import org.apache.commons.rng.UniformRandomProvider

/**
 * Limits within which a host must apply the changes of a collection of the store.
 *
 * @property lagMillis time from the acknowledgement of a change until all hosts have applied it, in milliseconds.
 * @property contactMillis time after a failure of the store, or of the connections to it, from which on [lagMillis] holds again,
 * in milliseconds.
 */
public data class ChangeLimits(public val lagMillis: Long, public val contactMillis: Long)

/**
 * The times of a host's calls of the store for one collection, all of them parts of its [limits].
 *
 * They are chosen so that the age of what a host knows stays below the allowed lag, whichever single response is lost: the age at
 * which a host checks for changes and the time of a response add up to less than the lag; after a failure, the longest time
 * between two checks and the time of a response add up to less than both limits.
 */
public class StoreCallTimes(private val limits: ChangeLimits, private val settings: StoreCallSettings = StoreCallSettings()) {
    /** Time within which a host must be up to date after a failure, in milliseconds. */
    private val patienceMillis = minOf(limits.lagMillis, limits.contactMillis)

    /**
     * Returns the wait of a watch, in milliseconds, in a fleet of [hostCount] hosts: the responses to the hosts that watch come
     * one after the other, so that one of them confirms what all hosts know several times within the allowed lag.
     */
    public fun watchMillis(hostCount: Int): Long {
        val part = if (isSmall(hostCount)) hostCount * settings.smallSpacingPart else settings.largeWatchPart
        return partOf(limits.lagMillis, maxOf(part, settings.loneWatchPart)).coerceAtMost(settings.longestWatchMillis)
    }

    /** Age of its knowledge, in milliseconds, by which a watcher notices that the others are answered together with it. */
    public val inStepAgeMillis: Long get() = partOf(limits.lagMillis, settings.inStepAgePart)

    /** Returns the age of its knowledge, in milliseconds, at which the host at [rank] checks for changes itself. */
    public fun dueAgeMillis(rank: Int, hostCount: Int): Long = partOf(limits.lagMillis, dueAgePart(rank, hostCount))

    private fun dueAgePart(rank: Int, hostCount: Int): Double {
        val first = if (isSmall(hostCount)) 0 else settings.watchers + settings.backups
        if (rank < first) return settings.backupAgePart
        val firstPart = if (isSmall(hostCount)) settings.backupAgePart else settings.firstAgePart
        return firstPart + (settings.lastAgePart - firstPart) * (rank - first) / (hostCount - first)
    }

    /**
     * Returns the time after which a check that got no response is followed by another one, in milliseconds, when [unanswered]
     * checks before it got none either.
     */
    public fun overdueMillis(unanswered: Int, random: UniformRandomProvider): Long {
        val part = if (unanswered == 0) settings.firstOverduePart else settings.overduePart
        return spread(partOf(patienceMillis, part), random)
    }

    /** Returns the backoff after the last of [failures] calls that failed at once, in milliseconds. */
    public fun backoffMillis(failures: Int, random: UniformRandomProvider): Long {
        val upperMillis = settings.firstBackoffMillis shl (failures - 1).coerceAtMost(MAX_DOUBLINGS)
        return spread(upperMillis.coerceAtMost(longestBackoffMillis), random)
    }

    /** Time limit for the response to a call, in milliseconds; a response that comes later is of no use. */
    public val callTimeoutMillis: Long get() = patienceMillis

    /** Longest backoff, in milliseconds. */
    public val longestBackoffMillis: Long get() = partOf(patienceMillis, settings.backoffPart)

    private fun isSmall(hostCount: Int) = hostCount <= settings.smallFleet

    private fun partOf(millis: Long, part: Double): Long = (millis * part).toLong()

    /** Returns a random time between half of [millis] and [millis], so that hosts don't call in one moment. */
    private fun spread(millis: Long, random: UniformRandomProvider): Long =
        millis / 2 + (random.nextDouble() * (millis - millis / 2)).toLong()

    private companion object {
        /** Bounds the shift by the number of failures. */
        const val MAX_DOUBLINGS = 10
    }
}

/**
 * Settings of [StoreCallTimes] and [StoreCallSchedule]; parts are parts of the time within which a change must be applied.
 *
 * @property smallFleet maximum fleet size at which all hosts watch; up to this size, the additional calls cost less than the
 * delay of receiving changes from peers.
 * @property watchers number of watching hosts in a larger fleet; tolerates two simultaneous failures.
 * @property backups number of hosts that are the first to take over if the watchers fail.
 * @property largeWatchPart wait of a watch in a larger fleet; the watchers' responses come at each third of it.
 * @property inStepAgePart age that the knowledge of a watcher in a larger fleet reaches between two responses if no other watcher
 * is answered in between.
 * @property smallSpacingPart time between the responses of two hosts in a small fleet; shorter, because they learn from each
 * other only by their heartbeats.
 * @property loneWatchPart shortest wait of a watch; less than any age at which a host checks for changes.
 * @property longestWatchMillis longest wait of a watch, in milliseconds; the store accepts 30,000, and a call that was lost must
 * end some time.
 * @property backupAgePart age at which the first hosts check; more than the knowledge of any host reaches while the watches are
 * answered.
 * @property firstAgePart age at which the first hosts do that neither watch nor are the first to take over; what a backup learns
 * has reached most of them.
 * @property lastAgePart age at which the last hosts check; leaves time for a response, and to pass it on to hosts that the store
 * rejects.
 * @property firstOverduePart time after which another check follows one without a response.
 * @property overduePart the same after that; with the time of a response, less than the limits leave.
 * @property firstBackoffMillis first backoff after a call that failed, in milliseconds; ten times the usual response time of the
 * store.
 * @property backoffPart longest backoff.
 * @property decisionMillis longest time between two decisions of a host, in milliseconds.
 */
public data class StoreCallSettings(
    public val smallFleet: Int = 12,
    public val watchers: Int = 3,
    public val backups: Int = 4,
    public val largeWatchPart: Double = 0.8,
    public val inStepAgePart: Double = 0.5,
    public val smallSpacingPart: Double = 0.2,
    public val loneWatchPart: Double = 0.5,
    public val longestWatchMillis: Long = 10_000,
    public val backupAgePart: Double = 0.6,
    public val firstAgePart: Double = 0.7,
    public val lastAgePart: Double = 0.8,
    public val firstOverduePart: Double = 0.2,
    public val overduePart: Double = 0.4,
    public val firstBackoffMillis: Long = 40,
    public val backoffPart: Double = 0.24,
    public val decisionMillis: Long = 250,
)
