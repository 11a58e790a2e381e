package buckthornbay.core.chart

import buckthornbay.protocol.readToml
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.enums.EnumEntries

/**
 * A state machine whose transitions are read from a file.
 *
 * Its states and events are enums, so that the compiler checks the code that handles them; the file defines the transitions.
 *
 * ```kotlin
 * val chart = loadChart("request", RequestState.entries, RequestEvent.entries)
 * chart.next(RequestState.RECEIVED, RequestEvent.QUEUE) // RequestState.QUEUED
 * ```
 */
public class StateChart<S : Enum<S>, E : Enum<E>> internal constructor(
    /** The initial state. */
    public val initial: S,
    /** The final states, which have no outgoing transitions. */
    public val final: Set<S>,
    private val transitions: Map<S, Map<E, S>>,
) {
    /** Returns the state that follows [state] on [event], or null if there is no such transition. */
    public fun next(state: S, event: E): S? = transitions[state]?.get(event)

    /** Returns whether [state] is final. */
    public fun isFinal(state: S): Boolean = state in final
}

/**
 * Loads the chart [name] from the resource `charts/NAME.toml`.
 *
 * @throws IllegalStateException if the file is missing or invalid, does not match [states] and [events], has an unreachable
 * state, a final state with outgoing transitions or another state without any, or two transitions from one state on one event.
 */
public fun <S : Enum<S>, E : Enum<E>> loadChart(name: String, states: EnumEntries<S>, events: EnumEntries<E>): StateChart<S, E> {
    val resource = "charts/$name.toml"
    val stream = checkNotNull(StateChart::class.java.classLoader.getResourceAsStream(resource)) { "resource $resource not found" }
    return parseChart(resource, stream.use { it.readBytes().decodeToString() }, states, events)
}

/** Parses a chart from [text]; error messages contain [resource]. */
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
            check(before == null) { "$resource: event ${transition.event} has more than one transition from ${transition.from}" }
        }
        val initial = state(file.initial)
        val final = file.final.map(::state).toSet()
        checkOutgoingTransitions(transitions, final)
        checkReachable(initial, transitions)
        return StateChart(initial, final, transitions)
    }

    private fun checkOutgoingTransitions(transitions: Map<S, Map<E, S>>, final: Set<S>) {
        for (state in states) {
            val hasTransitions = !transitions[state].isNullOrEmpty()
            check(hasTransitions != (state in final)) { "$resource: $state must either be final or have transitions" }
        }
        val used = transitions.values.flatMap { it.keys }.toSet()
        check(used.containsAll(events)) { "$resource: no transition uses events ${events - used}" }
    }

    private fun checkReachable(initial: S, transitions: Map<S, Map<E, S>>) {
        val reached = mutableSetOf(initial)
        val open = ArrayDeque(listOf(initial))
        while (open.isNotEmpty()) {
            transitions[open.removeFirst()].orEmpty().values.filter { reached.add(it) }.forEach { open.addLast(it) }
        }
        check(reached.containsAll(states)) { "$resource: states ${states - reached} are unreachable" }
    }

    private fun state(name: String): S = checkNotNull(states.find { it.name == name }) { "$resource: unknown state $name" }

    private fun event(name: String): E = checkNotNull(events.find { it.name == name }) { "$resource: unknown event $name" }
}
