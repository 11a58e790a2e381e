package buckthornbay.core.config

import buckthornbay.protocol.VersionedState

/**
 * Keeps the newest desired state that this host has seen; its version only rises.
 *
 * A stale read of the platform, a late answer of a peer or a message from before a partition changes nothing.
 */
public class StateAdoption {
    /** The state in force; null until the first one arrives. */
    public var current: VersionedState? = null
        private set

    private var fetchingVersion = 0L
    private var fetchStartedAtMillis = 0L

    /** The version in force, 0 before the first. */
    public val version: Long get() = current?.version ?: 0

    /** Puts [offered] in force if it is newer; returns whether it is. */
    public fun offer(offered: VersionedState): Boolean {
        if (offered.version <= version) return false
        current = offered
        return true
    }

    /** Whether the body of [announcedVersion] should be fetched now, given what is in force and what is being fetched. */
    public fun shouldFetch(nowMillis: Long, announcedVersion: Long): Boolean {
        if (announcedVersion <= version) return false
        val underWay = announcedVersion <= fetchingVersion && nowMillis - fetchStartedAtMillis < FETCH_RETRY_MILLIS
        if (underWay) return false
        fetchingVersion = announcedVersion
        fetchStartedAtMillis = nowMillis
        return true
    }

    private companion object {
        const val FETCH_RETRY_MILLIS = 1_000L
    }
}
