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

/** The format of log lines. */
@Serializable
public enum class LogFormat {
    /** Plain text, one line per entry. */
    @SerialName("text")
    TEXT,

    /** JSON, one object per entry. */
    @SerialName("json")
    JSON,
}

/**
 * The settings of a router process, read from TOML.
 *
 * @property host the id of this host, which must be unique among live hosts.
 * @property url the URL at which callers and peers reach this host.
 * @property listenAddress the IP address to listen on.
 * @property listenPort the TCP port to listen on.
 * @property platformUrl the base URL of the platform's object API and host list.
 * @property seedUrls the URLs of a few other hosts, through which this host joins the fleet.
 * @property fleetKey the shared secret that authenticates hosts to each other.
 * @property operatorKey the secret that authenticates operators.
 * @property drainMillis the maximum time for which a shutdown waits for requests in progress, in milliseconds.
 * @property maxBodyBytes the maximum size of a request body, in bytes.
 * @property upstreamSilenceMillis the time without data after which an attempt at an upstream fails, in milliseconds.
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

/** Reads router settings from TOML; returns either the settings or all problems in them, each with its line. */
public fun readRouterSettings(text: String): Result<RouterSettings, List<TomlProblem>> {
    val settings = readToml(RouterSettings.serializer(), text).getOrElse { return Err(it) }.value
    val problems = listOfNotNull(
        "listenPort must be between 0 and $MAX_PORT".takeIf { settings.listenPort !in 0..MAX_PORT },
        "url must start with http://".takeIf { !settings.url.startsWith("http://") },
        "platformUrl must start with http:// or https://".takeIf { !settings.platformUrl.startsWith("http") },
        "fleetKey must have at least $MIN_KEY_LENGTH characters".takeIf { settings.fleetKey.length < MIN_KEY_LENGTH },
        "operatorKey must have at least $MIN_KEY_LENGTH characters".takeIf { settings.operatorKey.length < MIN_KEY_LENGTH },
        "fleetKey and operatorKey must differ".takeIf { settings.fleetKey == settings.operatorKey },
        "drainMillis, maxBodyBytes and upstreamSilenceMillis must be greater than 0".takeIf {
            settings.drainMillis <= 0 || settings.maxBodyBytes <= 0 || settings.upstreamSilenceMillis <= 0
        },
    )
    return if (problems.isEmpty()) Ok(settings) else Err(problems.map { TomlProblem(0, it) })
}

private const val MAX_PORT = 65_535
private const val MIN_KEY_LENGTH = 8
