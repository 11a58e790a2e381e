package buckthornbay.protocol

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import org.tomlj.TomlArray
import org.tomlj.TomlTable

/** A validator of parsed TOML tables against a serializer's descriptor. */
@OptIn(ExperimentalSerializationApi::class)
internal class TomlShapeCheck {
    private val problems = mutableListOf<TomlProblem>()

    fun check(descriptor: SerialDescriptor, table: TomlTable): List<TomlProblem> {
        checkTable(descriptor, table, path = "", line = 0)
        return problems
    }

    private fun checkTable(descriptor: SerialDescriptor, table: TomlTable, path: String, line: Int) {
        val known = descriptor.elementNames.toList()
        for (key in table.keySet().filterNot { it in known }) {
            val hint = known.joinToString(", ")
            report(table.lineOf(key), "unknown field '${path.child(key)}'; expected one of: $hint")
        }
        for (name in known) {
            val index = descriptor.getElementIndex(name)
            if (!table.contains(listOf(name))) {
                if (!descriptor.isElementOptional(index)) {
                    report(line, "missing field '${path.child(name)}'")
                }
                continue
            }
            val element = descriptor.getElementDescriptor(index)
            checkValue(element, table.get(listOf(name)), path.child(name), table.lineOf(name))
        }
    }

    private fun checkValue(descriptor: SerialDescriptor, value: Any?, path: String, line: Int) {
        if (descriptor.isInline) {
            return checkValue(descriptor.getElementDescriptor(0), value, path, line)
        }
        when (descriptor.kind) {
            StructureKind.CLASS ->
                if (value is TomlTable) checkTable(descriptor, value, path, line) else wrongType(path, line, "a table")
            StructureKind.LIST ->
                if (value is TomlArray) checkArray(descriptor, value, path) else wrongType(path, line, "an array")
            SerialKind.ENUM -> checkEnum(descriptor, value, path, line)
            is PrimitiveKind -> checkPrimitive(descriptor.kind as PrimitiveKind, value, path, line)
            else -> Unit
        }
    }

    private fun checkArray(descriptor: SerialDescriptor, array: TomlArray, path: String) {
        for (index in 0 until array.size()) {
            val line = array.inputPositionOf(index).line()
            checkValue(descriptor.getElementDescriptor(0), array.get(index), "$path[$index]", line)
        }
    }

    private fun checkEnum(descriptor: SerialDescriptor, value: Any?, path: String, line: Int) {
        val names = descriptor.elementNames.toList()
        if (value !in names) {
            wrongType(path, line, "one of: ${names.joinToString(", ")}")
        }
    }

    private fun checkPrimitive(kind: PrimitiveKind, value: Any?, path: String, line: Int) {
        when (kind) {
            PrimitiveKind.STRING -> if (value !is String) wrongType(path, line, "a string")
            PrimitiveKind.BOOLEAN -> if (value !is Boolean) wrongType(path, line, "true or false")
            PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> if (value !is Number) wrongType(path, line, "a number")
            PrimitiveKind.INT ->
                if (value !is Long || value !in Int.MIN_VALUE..Int.MAX_VALUE) wrongType(path, line, "a whole number")
            else -> if (value !is Long) wrongType(path, line, "a whole number")
        }
    }

    private fun wrongType(path: String, line: Int, expected: String) = report(line, "'$path' must be $expected")

    private fun report(line: Int, message: String) {
        problems += TomlProblem(line, message)
    }

    private fun TomlTable.lineOf(key: String): Int = inputPositionOf(listOf(key))?.line() ?: 0

    private fun String.child(name: String): String = if (isEmpty()) name else "$this.$name"
}
