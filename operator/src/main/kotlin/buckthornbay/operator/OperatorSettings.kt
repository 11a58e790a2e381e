package buckthornbay.operator

import kotlinx.serialization.Serializable

/**
 * Where the command line finds the platform and the routers, read from TOML.
 *
 * @property routerUrls base addresses of a few routers; one that answers is enough.
 * @property operatorKey the secret that routers ask operators for.
 */
@Serializable
public data class OperatorSettings(
    public val platformUrl: String,
    public val routerUrls: List<String> = emptyList(),
    public val operatorKey: String = "",
)
