package buckthornbay.core.chart

import buckthornbay.protocol.readToml
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.enums.EnumEntries

/**
 * A state chart that is read from a file and interpreted.
 *
 * Its states and events are enums, so that the code which handles them is checked by the compiler; the file says which event
 * leads where.
 *
 * ```kotlin
 * val chart = loadChart("request", RequestState.entries, RequestEvent.entries)
 * chart.next(RequestState.RECEIVED, RequestEvent.QUEUE) // RequestState.QUEUED
 * ```
 */
public class StateChart<S : Enum<S>, E : Enum<E>> internal constructor(
    /** Where every run of the chart begins. */
    public val initial: S,
    /** Where a run ends; nothing leads out of these. */
    public val final: Set<S>,
    private val transitions: Map<S, Map<E, S>>,
) {
    /** Returns where [event] leads from [state], or null where the chart does not allow it there. */
    public fun next(state: S, event: E): S? = transitions[state]?.get(event)

    /** Whether a run that has reached [state] is over. */
    public fun isFinal(state: S): Boolean = state in final
}

/**
 * Loads the chart [name] from the resource `charts/NAME.toml`.
 *
 * @throws IllegalStateException where the file does not match [states] and [events], a state can't be reached, a state that is
 * not final has no way out, or one event leads two ways: the program and its chart don't belong together then.
 */
public fun <S : Enum<S>, E : Enum<E>> loadChart(name: String, states: EnumEntries<S>, events: EnumEntries<E>): StateChart<S, E> {
    val resource = "charts/$name.toml"
    val stream = checkNotNull(StateChart::class.java.classLoader.getResourceAsStream(resource)) { "there is no $resource" }
    return parseChart(resource, stream.use { it.readBytes().decodeToString() }, states, events)
}

/** Reads a chart from [text]; [resource] names it in errors. */
internal fun <S : Enum<S>, E : Enum<E>> parseChart(
    resource: String,
    text: String,
    states: EnumEntries<S>,
    events: EnumEntries<E>,
): StateChart<S, E> {
    val document = readToml(ChartFile.serializer(), text).getOrElse { problems ->
        error("$resource: ${problems.joinToString("; ")}")
    }
    return ChartBuilder(resource, document.value, states, events).build()
}

@Serializable
internal data class ChartFile(val initial: String, val final: List<String>, val transitions: List<ChartTransition>)

@Serializable
internal data class ChartTransition(val from: String, @SerialName("on") val event: String, val to: String)

private class ChartBuilder<S : Enum<S>, E : Enum<E>>(
    private val resource: String,
    private val file: ChartFile,
    private val states: EnumEntries<S>,
    private val events: EnumEntries<E>,
) {
    fun build(): StateChart<S, E> {
        val transitions = HashMap<S, HashMap<E, S>>()
        for (transition in file.transitions) {
            val from = state(transition.from)
            val event = event(transition.event)
            val before = transitions.getOrPut(from) { HashMap() }.put(event, state(transition.to))
            check(before == null) { "$resource: ${transition.event} leads two ways from ${transition.from}" }
        }
        val initial = state(file.initial)
        val final = file.final.map(::state).toSet()
        checkWaysOut(transitions, final)
        checkReachable(initial, transitions)
        return StateChart(initial, final, transitions)
    }

    private fun checkWaysOut(transitions: Map<S, Map<E, S>>, final: Set<S>) {
        for (state in states) {
            val hasWayOut = !transitions[state].isNullOrEmpty()
            check(hasWayOut != (state in final)) { "$resource: $state must be final or have a way out, and not both" }
        }
        val used = transitions.values.flatMap { it.keys }.toSet()
        check(used.containsAll(events)) { "$resource: no transition handles ${events - used}" }
    }

    private fun checkReachable(initial: S, transitions: Map<S, Map<E, S>>) {
        val reached = mutableSetOf(initial)
        val open = ArrayDeque(listOf(initial))
        while (open.isNotEmpty()) {
            transitions[open.removeFirst()].orEmpty().values.filter { reached.add(it) }.forEach { open.addLast(it) }
        }
        check(reached.containsAll(states)) { "$resource: ${states - reached} can't be reached" }
    }

    private fun state(name: String): S = checkNotNull(states.find { it.name == name }) { "$resource: unknown state $name" }

    private fun event(name: String): E = checkNotNull(events.find { it.name == name }) { "$resource: unknown event $name" }
}
