package buckthornbay.router.gateway

import buckthornbay.protocol.HostId
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.TomlProblem
import buckthornbay.protocol.ZoneId
import buckthornbay.protocol.readToml
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.Serializable

/**
 * Settings of a router for a deployment's platform, read from TOML.
 *
 * @property host id of this host, unique among the live hosts.
 * @property seeds control addresses of a few other hosts, as `IP:PORT`; they may be stale.
 * @property zones availability zones with their regions.
 * @property limits limits of this host's process.
 */
@Serializable
public data class GatewaySettings(
    public val host: HostId,
    public val region: RegionId,
    public val zone: ZoneId,
    public val seeds: List<String> = emptyList(),
    public val listen: ListenSettings,
    public val store: StoreSettings,
    public val bounds: BoundSettings,
    public val zones: List<ZoneSettings> = emptyList(),
    public val limits: ProcessLimits = ProcessLimits(),
)

/**
 * Addresses to listen on, as `IP:PORT`.
 *
 * @property callers address for the requests of callers.
 * @property readiness address for readiness probes.
 * @property control address for peers.
 * @property addresses address for callers' queries for the hosts to use.
 * @property metrics address for metric scrapes, or null for no separate listener.
 */
@Serializable
public data class ListenSettings(
    public val callers: String,
    public val readiness: String,
    public val control: String,
    public val addresses: String,
    public val metrics: String? = null,
)

/**
 * Limits of a router's process.
 *
 * @property descriptors largest number of open file descriptors; null if it is unknown, so that connections are not limited.
 */
@Serializable
public data class ProcessLimits(public val descriptors: Int? = null)

/**
 * The platform's store.
 *
 * @property address its address, as `IP:PORT`.
 * @property writesPerSecond write calls per second that it takes from all hosts together.
 */
@Serializable
public data class StoreSettings(public val address: String, public val writesPerSecond: Double = DEFAULT_WRITES_PER_SECOND) {
    private companion object {
        /** What the smallest stores of the platform take. */
        const val DEFAULT_WRITES_PER_SECOND = 400.0
    }
}

/** An availability zone and its region. */
@Serializable
public data class ZoneSettings(public val name: ZoneId, public val region: RegionId)

/**
 * Limits that operators have agreed on with the users.
 *
 * @property graceSeconds time between the signal to stop and the kill, in seconds.
 * @property retryRatio retry budget: retries allowed per request in a window, fleet-wide.
 * @property retryWindowSeconds length of the window of the retry budget, in seconds.
 * @property retrySlack retries allowed in a window regardless of the number of requests, fleet-wide.
 * @property shareWindowSeconds time over which fair shares of throughput are measured, in seconds.
 * @property configurationMillis time from the store's acknowledgement of a configuration until all hosts apply it, in
 * milliseconds.
 * @property drainMillis time from the acknowledgement that an upstream drains or is gone until no host sends it requests, in
 * milliseconds.
 * @property evacuationMillis time from the acknowledgement that an availability zone is evacuated until no host sends requests to
 * its upstreams, in milliseconds; null if zones are not evacuated, so that the store isn't asked.
 * @property paceStarts whether the pace of an upstream that has just started or recovered is found from how it answers.
 * @property contactMillis time after a failure of the store, or of the connections to it, from which on all hosts must be up to
 * date again, in milliseconds.
 */
@Serializable
public data class BoundSettings(
    public val graceSeconds: Double,
    public val retryRatio: Double,
    public val retryWindowSeconds: Double,
    public val retrySlack: Double,
    public val shareWindowSeconds: Double,
    public val configurationMillis: Long = 2_500,
    public val drainMillis: Long = 2_500,
    public val contactMillis: Long = 3_000,
    public val evacuationMillis: Long? = null,
    public val paceStarts: Boolean = false,
)

/** Reads the settings from TOML; returns the settings, or all problems found, with line numbers where they are known. */
public fun readGatewaySettings(text: String): Result<GatewaySettings, List<TomlProblem>> {
    val settings = readToml(GatewaySettings.serializer(), text).getOrElse { return Err(it) }.value
    val listen = settings.listen
    val addresses = listOfNotNull(listen.callers, listen.readiness, listen.control, listen.addresses, listen.metrics) +
        settings.seeds + settings.store.address
    val problems = addresses.filterNot(::isAddress).map { "'$it' is not an address of the form IP:PORT" } + listOfNotNull(
        "graceSeconds, retryWindowSeconds and shareWindowSeconds must be above 0".takeIf {
            settings.bounds.run { graceSeconds <= 0 || retryWindowSeconds <= 0 || shareWindowSeconds <= 0 }
        },
        "configurationMillis, drainMillis, contactMillis and evacuationMillis must be at least $MIN_LAG_MILLIS".takeIf {
            settings.bounds.run {
                listOfNotNull(configurationMillis, drainMillis, contactMillis, evacuationMillis).any { it < MIN_LAG_MILLIS }
            }
        },
        "writesPerSecond must be above 0".takeIf { settings.store.writesPerSecond <= 0 },
        "descriptors must be at least $MIN_DESCRIPTORS".takeIf {
            settings.limits.descriptors?.let { it < MIN_DESCRIPTORS } == true
        },
        "retryRatio and retrySlack must not be negative".takeIf { settings.bounds.run { retryRatio < 0 || retrySlack < 0 } },
    )
    return if (problems.isEmpty()) Ok(settings) else Err(problems.map { TomlProblem(0, it) })
}

private fun isAddress(text: String): Boolean {
    val port = text.substringAfterLast(':', "").toIntOrNull() ?: return false
    return port in 1..MAX_PORT && text.substringBeforeLast(':').isNotEmpty()
}

private const val MAX_PORT = 65_535

/** Least number of descriptors with which a router serves a few callers: files of the process, listeners and some connections. */
private const val MIN_DESCRIPTORS = 300

/** Shortest time within which changes can be asked to reach all hosts, in milliseconds: a few calls of the store and of peers. */
private const val MIN_LAG_MILLIS = 1_000L
