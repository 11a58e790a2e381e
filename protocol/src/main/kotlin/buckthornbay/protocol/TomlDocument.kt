package buckthornbay.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import net.peanuuutz.tomlkt.Toml
import org.tomlj.TomlArray
import org.tomlj.TomlParseResult
import org.tomlj.TomlTable

/**
 * An error in a TOML file.
 *
 * @property line one-based line number; 0 if the error concerns the whole file.
 * @property message description of the error and of the expected value.
 */
public data class TomlProblem(public val line: Int, public val message: String) {
    override fun toString(): String = if (line > 0) "line $line: $message" else message
}

/** A value decoded from TOML, with the source lines of its entries. */
public class TomlDocument<T> internal constructor(
    /** The decoded value. */
    public val value: T,
    private val table: TomlTable,
) {
    /**
     * Returns the line of [field] in the entry [index] of [array], of the entry itself if [field] is null or absent, or 0 if
     * [array] is absent.
     */
    public fun lineOf(array: String, index: Int, field: String? = null): Int {
        val entries = table.get(listOf(array)) as? TomlArray ?: return table.inputPositionOf(listOf(array))?.line() ?: 0
        val entry = entries.get(index) as? TomlTable ?: return entries.inputPositionOf(index).line()
        val position = field?.let { entry.inputPositionOf(listOf(it)) } ?: entries.inputPositionOf(index)
        return position.line()
    }
}

/**
 * Decodes [text] with [deserializer], or returns every invalid, missing or unknown field with its line.
 *
 * ```kotlin
 * readToml(DesiredState.serializer(), "[[workspaces]]\nid = 'counter'\n")
 * ```
 */
public fun <T> readToml(deserializer: DeserializationStrategy<T>, text: String): Result<TomlDocument<T>, List<TomlProblem>> {
    val parsed: TomlParseResult = org.tomlj.Toml.parse(text)
    val syntax = parsed.errors().map { TomlProblem(it.position().line(), it.message.orEmpty()) }
    if (syntax.isNotEmpty()) {
        return Err(syntax)
    }
    val problems = TomlShapeCheck().check(deserializer.descriptor, parsed)
    if (problems.isNotEmpty()) {
        return Err(problems.sortedBy { it.line })
    }
    return try {
        Ok(TomlDocument(WireJson.decodeFromJsonElement(deserializer, parsed.toJsonObject()), parsed))
    } catch (e: SerializationException) {
        Err(listOf(TomlProblem(0, e.message.orEmpty().lineSequence().first())))
    }
}

/** Encodes [state] as TOML that [readToml] can decode. */
public fun writeToml(state: DesiredState): String = writer.encodeToString(DesiredState.serializer(), state)

private val writer = Toml { explicitNulls = false }

private fun TomlTable.toJsonObject(): JsonObject = JsonObject(keySet().associateWith { toJsonElement(get(listOf(it))) })

private fun toJsonElement(value: Any?): JsonElement = when (value) {
    is TomlTable -> value.toJsonObject()
    is TomlArray -> JsonArray(value.toList().map(::toJsonElement))
    is Number -> JsonPrimitive(value)
    is Boolean -> JsonPrimitive(value)
    else -> JsonPrimitive(value.toString())
}
