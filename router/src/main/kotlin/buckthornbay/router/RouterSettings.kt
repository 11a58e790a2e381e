package buckthornbay.router

import buckthornbay.protocol.HostId
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.TomlProblem
import buckthornbay.protocol.ZoneId
import buckthornbay.protocol.readToml
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How log lines are written. */
@Serializable
public enum class LogFormat {
    /** One readable line each. */
    @SerialName("text")
    TEXT,

    /** One JSON object each. */
    @SerialName("json")
    JSON,
}

/**
 * The settings of one router process, read from TOML.
 *
 * @property host this host's id; no other live host may have it.
 * @property url the address under which callers and peers reach this host.
 * @property listenAddress the IP number to listen on.
 * @property listenPort the TCP port to listen on.
 * @property platformUrl base address of the platform's object API and host list.
 * @property seedUrls addresses of a few other hosts.
 * @property fleetKey the secret that hosts show each other.
 * @property operatorKey the secret that operators show.
 * @property drainMillis longest time that a shutdown waits for requests in progress, in milliseconds.
 * @property maxBodyBytes largest request body that is accepted, in bytes.
 * @property upstreamSilenceMillis how long an upstream may send nothing before it counts as broken, in milliseconds.
 */
@Serializable
public data class RouterSettings(
    public val host: HostId,
    public val region: RegionId,
    public val zone: ZoneId,
    public val url: String,
    public val listenAddress: String = "127.0.0.1",
    public val listenPort: Int,
    public val platformUrl: String,
    public val seedUrls: List<String> = emptyList(),
    public val fleetKey: String,
    public val operatorKey: String,
    public val logFormat: LogFormat = LogFormat.TEXT,
    public val drainMillis: Long = 120_000,
    public val maxBodyBytes: Int = 8_388_608,
    public val upstreamSilenceMillis: Long = 10_000,
)

/** Reads router settings from TOML and returns either them or all their problems, each with its line. */
public fun readRouterSettings(text: String): Result<RouterSettings, List<TomlProblem>> {
    val settings = readToml(RouterSettings.serializer(), text).getOrElse { return Err(it) }.value
    val problems = listOfNotNull(
        "listenPort must be from 0 to $MAX_PORT".takeIf { settings.listenPort !in 0..MAX_PORT },
        "url must begin with http://".takeIf { !settings.url.startsWith("http://") },
        "platformUrl must begin with http:// or https://".takeIf { !settings.platformUrl.startsWith("http") },
        "fleetKey must have $MIN_KEY_LENGTH characters or more".takeIf { settings.fleetKey.length < MIN_KEY_LENGTH },
        "operatorKey must have $MIN_KEY_LENGTH characters or more".takeIf { settings.operatorKey.length < MIN_KEY_LENGTH },
        "fleetKey and operatorKey must differ".takeIf { settings.fleetKey == settings.operatorKey },
        "drainMillis, maxBodyBytes and upstreamSilenceMillis must be above 0".takeIf {
            settings.drainMillis <= 0 || settings.maxBodyBytes <= 0 || settings.upstreamSilenceMillis <= 0
        },
    )
    return if (problems.isEmpty()) Ok(settings) else Err(problems.map { TomlProblem(0, it) })
}

private const val MAX_PORT = 65_535
private const val MIN_KEY_LENGTH = 8
