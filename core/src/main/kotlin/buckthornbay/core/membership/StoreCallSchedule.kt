package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import org.apache.commons.rng.UniformRandomProvider

/** A call of the store for one collection. */
public sealed interface StoreCall {
    /** Lists all objects. */
    public data object ListAll : StoreCall

    /** Asks for the changes since [revision], waiting up to [waitMillis] for one. */
    public data class Watch(public val revision: Long, public val waitMillis: Long) : StoreCall
}

/**
 * A call that is under way since [sentAtMillis].
 *
 * @property isCheck whether the store is to respond at once.
 * @property onNewConnection whether the call needs a connection of its own, because others may have gone silent.
 * @property timeoutMillis time limit for a response, in milliseconds, from the end of the call's wait on. It is long, since
 * other calls follow while this one is under way.
 */
public class PendingStoreCall internal constructor(
    public val call: StoreCall,
    public val sentAtMillis: Long,
    public val isCheck: Boolean,
    public val onNewConnection: Boolean,
    public val timeoutMillis: Long,
) {
    /** Returns the time as of which a response that arrives at [nowMillis] is complete: no later than the wait was over. */
    internal fun answeredAtMillis(nowMillis: Long): Long = when (call) {
        is StoreCall.ListAll -> sentAtMillis
        is StoreCall.Watch -> minOf(nowMillis, sentAtMillis + call.waitMillis)
    }
}

/** What a host does next to keep its knowledge of a collection of the store complete. */
public sealed interface StoreStep {
    /**
     * Sends [call] beside those that are under way.
     *
     * @property givenUp a call to end, which got no response for too long.
     * @property isStoreSilent whether several checks in a row got no response yet.
     */
    public data class Send(
        public val call: PendingStoreCall,
        public val givenUp: PendingStoreCall? = null,
        public val isStoreSilent: Boolean = false,
    ) : StoreStep

    /** Decides again after [millis], or when a call has ended. */
    public data class Wait(public val millis: Long) : StoreStep
}

/** Returns whether [host] watches the store for the others, given the [live] hosts; in a small fleet all hosts do. */
public fun watchesStore(host: HostId, live: Collection<HostId>, settings: StoreCallSettings = StoreCallSettings()): Boolean =
    live.size <= settings.smallFleet || storeRank(host, live) < settings.watchers

/** Returns the place of [host] in the order in which the [live] hosts call the store. */
private fun storeRank(host: HostId, live: Collection<HostId>): Int =
    rendezvousOrder("store-watch", live).indexOf(host).let { if (it < 0) live.size else it }

/**
 * The decision when a host calls the store for one collection; otherwise it receives changes from its peers.
 *
 * Store calls are billed individually, so the number of hosts that watch does not grow with the fleet, and a watch waits long.
 * What a host trusts is not that a call is under way but the age of its knowledge, which responses of the store and statements of
 * peers make younger. At an age that depends on its place in the order of rendezvous hashing, it checks for changes on a new
 * connection, whatever it has waited for until then: the response to a watch may be lost, or a watch may be told nothing.
 * A few hosts come first, so that what they learn spares the others a call. The first response counts.
 *
 * @param times the times of the calls, which the limits of the deployment decide.
 * @param batchMillis time after a change before the next watch, in milliseconds, in which further changes accumulate.
 */
public class StoreCallSchedule(
    private val self: HostId,
    public val knowledge: CollectionKnowledge,
    private val times: StoreCallTimes,
    private val random: UniformRandomProvider,
    private val batchMillis: Long = 0,
    private val settings: StoreCallSettings = StoreCallSettings(),
) {
    /** Whether this host calls the store because its peers don't confirm its knowledge. */
    public var takesOver: Boolean = false
        private set
    private val pending = ArrayList<PendingStoreCall>()
    private var overdueAtMillis = Long.MIN_VALUE
    private var unanswered = 0
    private var failures = 0
    private var resumeAtMillis = Long.MIN_VALUE
    private var lastCallAtMillis = Long.MIN_VALUE
    private var isInStep = true

    /** Oldest age of the knowledge since the last response, in milliseconds. */
    private var oldestAgeMillis = 0L
    private var rankedHosts: Collection<HostId> = emptyList()
    private var rank = 0

    private val hasPendingCheck: Boolean get() = pending.any { it.isCheck }
    private val isLargeFleet: Boolean get() = rankedHosts.size > settings.smallFleet

    /** Returns what to do next, given the [live] hosts and whether this host [isKnown] to have received any object. */
    public fun next(nowMillis: Long, live: Collection<HostId>, isKnown: Boolean): StoreStep {
        updateRank(live)
        oldestAgeMillis = maxOf(oldestAgeMillis, knowledge.ageMillis(nowMillis))
        if (nowMillis < resumeAtMillis) return wait(resumeAtMillis - nowMillis)
        if (hasPendingCheck && nowMillis < overdueAtMillis) return wait(overdueAtMillis - nowMillis)
        val untilDueMillis = times.dueAgeMillis(rank, live.size) - knowledge.ageMillis(nowMillis)
        if (rank >= watcherCount(live.size)) {
            val isUnconfirmed = takesOver && knowledge.confirmedByPeersAtMillis <= lastCallAtMillis
            takesOver = untilDueMillis <= 0 || !isKnown || isUnconfirmed
            if (!takesOver) return wait(untilDueMillis)
        }
        return nextCall(nowMillis, untilDueMillis, live.size)
    }

    /** Returns the next call of a host that calls the store itself; its knowledge is too old in [untilDueMillis]. */
    private fun nextCall(nowMillis: Long, untilDueMillis: Long, hostCount: Int): StoreStep {
        val isDue = untilDueMillis <= 0
        val isWatching = pending.any { !it.isCheck }
        val mayWatch = failures == 0 && !hasPendingCheck && (rank < watcherCount(hostCount) || !isDue)
        return when {
            !isWatching && mayWatch -> watch(nowMillis, hostCount)
            !isWatching || isDue -> check(nowMillis)
            else -> wait(untilDueMillis)
        }
    }

    /**
     * Records that the response to [call], which this host has applied, arrived at [nowMillis] with [revision], and with changes
     * if [changed]. Returns the calls that are not needed any more.
     */
    public fun answered(nowMillis: Long, call: PendingStoreCall, revision: Long, changed: Boolean): List<PendingStoreCall> {
        pending.remove(call)
        knowledge.confirm(call.answeredAtMillis(nowMillis), revision)
        isInStep = changed || failures > 0 || (isLargeFleet && oldestAgeMillis >= times.inStepAgeMillis)
        oldestAgeMillis = 0
        failures = 0
        unanswered = 0
        resumeAtMillis = if (changed) nowMillis + batchMillis else nowMillis
        // A watch that should have told of the change first is not going to tell of the next one either.
        return supersede { it.isCheck || changed }
    }

    /** Records that [call] failed because the history is gone. Returns the calls that are not needed any more. */
    public fun historyGone(call: PendingStoreCall): List<PendingStoreCall> {
        pending.remove(call)
        knowledge.forgetRevision()
        return supersede { true }
    }

    /** Records that [call] failed at [nowMillis], and that the store wants no call for [pauseMillis] then. */
    public fun failed(nowMillis: Long, call: PendingStoreCall, pauseMillis: Long = 0) {
        pending.remove(call)
        failures++
        val pause = pauseMillis.coerceAtMost(times.longestBackoffMillis)
        resumeAtMillis = nowMillis + maxOf(times.backoffMillis(failures, random), pause)
    }

    /** Forgets the calls that are under way, and lists the objects next. */
    public fun restart() {
        pending.clear()
        knowledge.forgetRevision()
    }

    /** Sends a call to which the store responds at once, on a new connection if another call may have been lost. */
    private fun check(nowMillis: Long): StoreStep {
        val earlier = pending.filter { it.isCheck }
        if (earlier.isNotEmpty()) unanswered++
        val givenUp = earlier.takeIf { it.size >= MAX_CHECKS }?.first()
        givenUp?.let(pending::remove)
        overdueAtMillis = nowMillis + times.overdueMillis(unanswered, random)
        val call = knowledge.revision?.let { StoreCall.Watch(it, CHECK_MILLIS) } ?: StoreCall.ListAll
        val onNewConnection = pending.isNotEmpty() || failures > 0
        val pendingCall = PendingStoreCall(call, nowMillis, isCheck = true, onNewConnection, times.callTimeoutMillis)
        return send(StoreStep.Send(pendingCall, givenUp, isStoreSilent = unanswered >= SILENT_CHECKS))
    }

    private fun watch(nowMillis: Long, hostCount: Int): StoreStep {
        val revision = knowledge.revision ?: return check(nowMillis)
        val call = StoreCall.Watch(revision, nextWatchMillis(nowMillis, hostCount))
        isInStep = false
        return send(
            StoreStep.Send(PendingStoreCall(call, nowMillis, isCheck = false, onNewConnection = false, times.callTimeoutMillis)),
        )
    }

    private fun send(step: StoreStep.Send): StoreStep {
        pending += step.call
        lastCallAtMillis = step.call.sentAtMillis
        return step
    }

    /**
     * Returns the wait of a watch, in milliseconds: shorter by rank if the last response came at the same time as those to other
     * watchers, as it does after a change. The responses then come one after the other.
     */
    private fun nextWatchMillis(nowMillis: Long, hostCount: Int): Long {
        val watchMillis = times.watchMillis(hostCount)
        if (rank >= watcherCount(hostCount)) return watchMillis
        val isAligned = isInStep || (isLargeFleet && isAlignedWithPeer(nowMillis, watchMillis))
        return if (isAligned) watchMillis * (rank + 1) / watcherCount(hostCount) else watchMillis
    }

    private fun isAlignedWithPeer(nowMillis: Long, watchMillis: Long): Boolean =
        nowMillis - knowledge.confirmedByPeersAtMillis < watchMillis / (2 * settings.watchers)

    private fun supersede(isNeedless: (PendingStoreCall) -> Boolean): List<PendingStoreCall> =
        pending.filter(isNeedless).also(pending::removeAll)

    private fun wait(millis: Long): StoreStep = StoreStep.Wait(millis.coerceIn(1, settings.decisionMillis))

    private fun watcherCount(hostCount: Int): Int = if (hostCount <= settings.smallFleet) hostCount else settings.watchers

    /** Ranks this host again if the [live] hosts have changed. */
    private fun updateRank(live: Collection<HostId>) {
        if (live == rankedHosts) return
        rankedHosts = live
        rank = storeRank(self, live)
    }

    private companion object {
        /** Wait of a call that only checks for changes, in milliseconds; the shortest that a store accepts. */
        const val CHECK_MILLIS = 1L

        /** Largest number of checks under way; a slow store has the time of three to respond. */
        const val MAX_CHECKS = 3

        /** Number of checks without a response after which the store counts as silent; one may be lost with its connection. */
        const val SILENT_CHECKS = 2
    }
}
