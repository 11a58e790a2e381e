package buckthornbay.core.wire

import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.core.routing.FleetConfiguration
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonElement

/** The format of configuration and registrations in the store of one deployment. */
public interface FleetFormat {
    /** The kind of the store object that contains the configuration. */
    public val configurationKind: String

    /** The name of the store object that contains the configuration. */
    public val configurationName: String

    /** The kind of the store objects by which upstreams register themselves. */
    public val registrationsKind: String

    /** The kind of the store objects that are named like the evacuated availability zones. */
    public val evacuationsKind: String

    /** The kind of the store objects that are named like the quarantined prompt parts. */
    public val quarantineKind: String

    /** The kind of the store objects that name the software versions at which streams may have begun. */
    public val declaredVersionsKind: String

    /** The kind of the store objects, one of each host, with the versions at which streams of callers have begun. */
    public val streamOriginsKind: String

    /** Decodes a configuration, or returns a description of the error. */
    public fun configuration(value: JsonElement): Result<FleetConfiguration, String>

    /** Decodes the registration of the upstream [name], or returns a description of the error. */
    public fun registration(name: String, value: JsonElement): Result<UpstreamEntry, String>
}
