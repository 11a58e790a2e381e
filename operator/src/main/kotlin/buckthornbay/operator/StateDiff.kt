package buckthornbay.operator

import buckthornbay.protocol.DesiredState

/** A difference between two desired states: kind and id of an entry, with its text in each state or null if absent. */
public data class StateDifference(public val entry: String, public val before: String?, public val after: String?) {
    override fun toString(): String = when {
        before == null -> "+ $entry: $after"
        after == null -> "- $entry: $before"
        else -> "- $entry: $before\n+ $entry: $after"
    }
}

/** Returns the entries that [after] adds to, removes from or changes in [before]. */
public fun diffStates(before: DesiredState, after: DesiredState): List<StateDifference> {
    val old = entriesOf(before)
    val new = entriesOf(after)
    return (old.keys + new.keys).filter { old[it] != new[it] }.map { StateDifference(it, old[it], new[it]) }
}

private fun entriesOf(state: DesiredState): Map<String, String> =
    state.workspaces.associate { "workspace ${it.id}" to it.toString() } +
        state.services.associate { "service ${it.id}" to it.toString() } +
        state.upstreams.associate { "upstream ${it.id}" to it.toString() } +
        ("policy" to state.policy.toString())
