package buckthornbay.operator

import kotlinx.serialization.Serializable

/**
 * Settings of the operator command line, read from TOML.
 *
 * @property platformUrl base URL of the platform.
 * @property routerUrls base URLs of some routers; one reachable router is sufficient.
 * @property operatorKey bearer key for the operator API of the routers.
 */
@Serializable
public data class OperatorSettings(
    public val platformUrl: String,
    public val routerUrls: List<String> = emptyList(),
    public val operatorKey: String = "",
)
