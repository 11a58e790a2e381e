package buckthornbay.core.config

import buckthornbay.protocol.VersionedState

/**
 * The newest desired state that this host has received; its version never decreases.
 *
 * Stale reads from the platform, delayed replies from peers and messages from before a partition are ignored.
 */
public class StateAdoption {
    /** The current state; null until the first one arrives. */
    public var current: VersionedState? = null
        private set

    private var fetchingVersion = 0L
    private var fetchStartedAtMillis = 0L

    /** The version of the current state, or 0 before the first one arrives. */
    public val version: Long get() = current?.version ?: 0

    /** Replaces the current state with [offered] if that is newer; returns whether the state was replaced. */
    public fun offer(offered: VersionedState): Boolean {
        if (offered.version <= version) return false
        current = offered
        return true
    }

    /** Returns whether to fetch the state of [announcedVersion] now: it is newer than the current one and no fetch is pending. */
    public fun shouldFetch(nowMillis: Long, announcedVersion: Long): Boolean {
        if (announcedVersion <= version) return false
        val isPending = announcedVersion <= fetchingVersion && nowMillis - fetchStartedAtMillis < FETCH_RETRY_MILLIS
        if (isPending) return false
        fetchingVersion = announcedVersion
        fetchStartedAtMillis = nowMillis
        return true
    }

    private companion object {
        const val FETCH_RETRY_MILLIS = 1_000L
    }
}
