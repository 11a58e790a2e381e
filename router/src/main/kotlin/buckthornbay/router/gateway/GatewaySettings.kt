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
 * The settings of a router on a deployment's platform, read from TOML.
 *
 * @property host this host's id; no other live host may have it.
 * @property seeds control addresses of a few other hosts, as `IP:PORT`; they may be stale.
 * @property zones the region of each availability zone.
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
)

/**
 * Addresses to listen on, as `IP:PORT`.
 *
 * @property callers for callers' requests.
 * @property readiness for questions whether this host is ready.
 * @property control for peers.
 * @property addresses for callers that ask which hosts to use.
 * @property metrics for the measures.
 */
@Serializable
public data class ListenSettings(
    public val callers: String,
    public val readiness: String,
    public val control: String,
    public val addresses: String,
    public val metrics: String? = null,
)

/** Where the platform's store is, as `IP:PORT`. */
@Serializable
public data class StoreSettings(public val address: String)

/** An availability zone and its region. */
@Serializable
public data class ZoneSettings(public val name: ZoneId, public val region: RegionId)

/**
 * Bounds that operators agreed with the users.
 *
 * @property graceSeconds time between the signal to stop and the kill, in seconds.
 * @property retryRatio repetitions for each request of a window, of all hosts together.
 * @property retryWindowSeconds length of that window, in seconds.
 * @property retrySlack repetitions in a window that need no request, of all hosts together.
 * @property shareWindowSeconds time over which shares of throughput are counted, in seconds.
 */
@Serializable
public data class BoundSettings(
    public val graceSeconds: Double,
    public val retryRatio: Double,
    public val retryWindowSeconds: Double,
    public val retrySlack: Double,
    public val shareWindowSeconds: Double,
)

/** Reads the settings from TOML and returns either them or all their problems, each with its line. */
public fun readGatewaySettings(text: String): Result<GatewaySettings, List<TomlProblem>> {
    val settings = readToml(GatewaySettings.serializer(), text).getOrElse { return Err(it) }.value
    val listen = settings.listen
    val addresses = listOfNotNull(listen.callers, listen.readiness, listen.control, listen.addresses, listen.metrics) +
        settings.seeds + settings.store.address
    val problems = addresses.filterNot(::isAddress).map { "'$it' is no address of the form IP:PORT" } + listOfNotNull(
        "graceSeconds, retryWindowSeconds and shareWindowSeconds must be above 0".takeIf {
            settings.bounds.run { graceSeconds <= 0 || retryWindowSeconds <= 0 || shareWindowSeconds <= 0 }
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
