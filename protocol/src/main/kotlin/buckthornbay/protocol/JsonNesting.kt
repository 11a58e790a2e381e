package buckthornbay.protocol

/** Greatest nesting depth of JSON that is decoded; the deepest message of the project has ten levels. */
public const val MAX_JSON_DEPTH: Int = 64

/**
 * Returns this JSON text without the contents of the objects and arrays that are nested deeper than [maxDepth].
 *
 * Decoding recurses into nested values and would overflow the stack. Values that are not nested as deeply stay as they are, so
 * that one odd value in a list doesn't cost the others.
 *
 * ```kotlin
 * """[1,[2,[3]]]""".withLimitedNesting(maxDepth = 2) // [1,[2,[]]]
 * ```
 */
public fun String.withLimitedNesting(maxDepth: Int = MAX_JSON_DEPTH): String {
    val kept = StringBuilder()
    var keptUntil = 0
    var depth = 0
    var inString = false
    var index = 0
    while (index < length) {
        when (this[index]) {
            '\\' -> if (inString) index++
            '"' -> inString = !inString
            '{', '[' -> if (!inString && ++depth == maxDepth + 1) kept.append(this, keptUntil, index + 1)
            '}', ']' -> if (!inString && depth-- == maxDepth + 1) keptUntil = index
        }
        index++
    }
    return when {
        kept.isEmpty() -> this
        depth > maxDepth -> kept.toString()
        else -> kept.append(this, keptUntil, length).toString()
    }
}
