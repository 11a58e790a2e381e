package buckthornbay.core.wire

import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.routing.FleetConfiguration
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonElement

/** How a deployment's store holds configuration and registrations. */
public interface FleetFormat {
    /** The collection that has the configuration. */
    public val configurationKind: String

    /** The name of the configuration in its collection. */
    public val configurationName: String

    /** The collection in which upstreams register themselves. */
    public val registrationsKind: String

    /** Reads a configuration, or says what is wrong with it. */
    public fun configuration(value: JsonElement): Result<FleetConfiguration, String>

    /** Reads what the upstream [name] registered, or says what is wrong with it. */
    public fun registration(name: String, value: JsonElement): Result<UpstreamEntry, String>
}
