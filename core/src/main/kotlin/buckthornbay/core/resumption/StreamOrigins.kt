package buckthornbay.core.resumption

import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId
import java.nio.ByteBuffer
import java.security.MessageDigest

/** A [softwareVersion] of the upstreams of [service]. */
public data class ServiceVersion(public val service: ServiceId, public val softwareVersion: String)

/**
 * Identifies a stream by the caller's attempt that brought its first event.
 *
 * It is a digest of the attempt and its workspace, so that callers of another workspace can't name the same stream.
 */
@JvmInline
public value class StreamKey(public val digest: Long) {
    public companion object {
        /** Returns the key of the stream that [attemptId] of [workspace], which is null on public routes, has begun. */
        public fun of(workspace: WorkspaceId?, attemptId: String): StreamKey {
            val text = "${workspace?.value.orEmpty()}\n$attemptId"
            return StreamKey(ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())).getLong())
        }
    }
}

/**
 * The software versions at which streams have begun, for as long as callers may take them up again.
 *
 * Events of two versions don't fit together, and upstreams don't check it.
 *
 * @param maxStreams number of remembered streams; beyond it the ones recorded first are forgotten.
 */
public class StreamOrigins(private val maxStreams: Int = DEFAULT_MAX_STREAMS) {
    private class Entry(val origin: ServiceVersion, val untilMillis: Long)

    private val entries = LinkedHashMap<StreamKey, Entry>()

    /** Number of changes so far; tells whether a stored copy is out of date. */
    public var changes: Long = 0
        private set

    /** Records that the stream [key] has begun at [origin] and may be taken up again until [untilMillis]. */
    public fun record(key: StreamKey, origin: ServiceVersion, untilMillis: Long) {
        val known = entries.remove(key)
        entries[key] = Entry(origin, maxOf(untilMillis, known?.untilMillis ?: untilMillis))
        changes++
        if (entries.size > maxStreams) entries.remove(entries.keys.first())
    }

    /** Adds [read] streams, which another host or an earlier process of this one has stored, until [untilMillis]. */
    public fun merge(read: Map<ServiceVersion, List<StreamKey>>, untilMillis: Long) {
        for ((origin, keys) in read) keys.filterNot { it in entries }.forEach { record(it, origin, untilMillis) }
    }

    /** Returns where the stream [key] has begun; null if it isn't known. */
    public fun find(nowMillis: Long, key: StreamKey): ServiceVersion? =
        entries[key]?.takeIf { it.untilMillis > nowMillis }?.origin

    /** Returns the streams that may still be taken up, by origin. */
    public fun current(nowMillis: Long): Map<ServiceVersion, List<StreamKey>> {
        entries.values.removeIf { it.untilMillis <= nowMillis }
        return entries.entries.groupBy({ it.value.origin }, { it.key })
    }

    private companion object {
        /** Default of maxStreams: 2 MB at some 100 bytes a stream; a host with 200 streams a second needs a seventh of it. */
        const val DEFAULT_MAX_STREAMS = 20_000
    }
}
