package buckthornbay.core.resumption

import buckthornbay.protocol.ServiceId

/**
 * The software versions at which streams of a service may have begun, as declared in the store.
 *
 * Hosts declare a version before they begin streams at it, and withdraw it when no caller can take one up any more. So while a
 * service has one declared version, all its streams have begun there: nothing has to be remembered about them, not even over a
 * failure of all hosts. Registrations alone don't tell: an upstream may have left while all hosts were down.
 *
 * A store that was restored from an older copy lacks versions at which streams have begun. Hosts keep what they knew, until no
 * caller can take up a stream of it.
 */
public class DeclaredVersions {
    /** The versions that the store has, as far as this host knows. */
    private val stored = LinkedHashSet<ServiceVersion>()

    /** The versions at which streams may have begun. */
    private val possible = LinkedHashSet<ServiceVersion>()
    private val absentSinceMillis = HashMap<ServiceVersion, Long>()

    /** Whether the declarations have been read from the store. */
    public var isLoaded: Boolean = false
        private set

    /** Whether streams of some service may have begun at several versions. */
    public val isMixed: Boolean get() = possible.groupBy { it.service }.values.any { it.size > 1 }

    /** Records that the store has the versions [read] and no others. */
    public fun replaceAll(read: Set<ServiceVersion>) {
        isLoaded = true
        stored.clear()
        stored += read
        possible += read
    }

    /** Records that [version] has been declared, so that streams may begin at it. */
    public fun declared(version: ServiceVersion) {
        stored += version
        possible += version
    }

    /** Returns whether the store has [version], as far as this host knows. */
    public fun isStored(version: ServiceVersion): Boolean = version in stored

    /** Records that the store doesn't have [version] any more, and that no caller can take up a stream of it. */
    public fun withdrawn(version: ServiceVersion) {
        stored -= version
        possible -= version
        absentSinceMillis -= version
    }

    /** Returns the versions at which streams of [service] may have begun. */
    public fun of(service: ServiceId): Set<String> = possible.of(service)

    /** Returns those of the [registered] versions that are to be declared. */
    public fun undeclared(registered: Set<ServiceVersion>): Set<ServiceVersion> = registered - stored

    /**
     * Returns the versions at which streams may begin, of the [usable] ones of [service]; null if all may.
     *
     * If none of the declared versions is usable, streams may begin at any: the store may be out of reach.
     */
    public fun forNewStreams(service: ServiceId, usable: Set<String>): Set<String>? =
        (stored.of(service) intersect usable).takeIf { it.isNotEmpty() && it.size < usable.size }

    /** Returns the versions of which streams may exist, but which none of the [registered] upstreams has had for [millis] ms. */
    public fun absentFor(nowMillis: Long, millis: Long, registered: Set<ServiceVersion>): Set<ServiceVersion> {
        absentSinceMillis.keys.removeAll(registered)
        val absent = possible - registered
        absent.forEach { absentSinceMillis.putIfAbsent(it, nowMillis) }
        return absent.filter { nowMillis - absentSinceMillis.getValue(it) >= millis }.toSet()
    }

    private fun Set<ServiceVersion>.of(service: ServiceId): Set<String> =
        filter { it.service == service }.map { it.softwareVersion }.toSet()
}

/** What is known of the software version that a stream is bound to. */
public sealed interface OriginLookup {
    /** The stream has begun at [version]. */
    public data class Known(public val version: ServiceVersion) : OriginLookup

    /** This host doesn't know; another one may have stored it. */
    public data object Unrecorded : OriginLookup
}

/** Returns where the stream [key] of [service] has begun, as far as [origins] and [declared] tell. */
public fun lookUpOrigin(
    nowMillis: Long,
    key: StreamKey,
    service: ServiceId,
    origins: StreamOrigins,
    declared: DeclaredVersions,
): OriginLookup {
    val recorded = origins.find(nowMillis, key)
    val only = declared.of(service).singleOrNull()
    return when {
        recorded != null -> OriginLookup.Known(recorded)
        only != null && declared.isLoaded -> OriginLookup.Known(ServiceVersion(service, only))
        else -> OriginLookup.Unrecorded
    }
}
