package buckthornbay.core.config

import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.ServiceKind
import buckthornbay.protocol.TomlDocument
import buckthornbay.protocol.TomlProblem
import buckthornbay.protocol.readToml
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse

/** The largest desired state that the platform's service holds as one value, in bytes. */
public const val MAX_STATE_BYTES: Int = 1_000_000

private const val EMPTY_STATE =
    "the file names no workspace, service or upstream and would take the whole fleet out of service; " +
        "say --allow-empty if that is meant"

/**
 * A rule of the desired state that an entry breaks.
 *
 * @property array the list that the entry stands in, such as `workspaces`.
 * @property index the entry's place in that list, from 0.
 * @property field the field that is wrong.
 * @property message what is wrong and what to do.
 */
public data class StateProblem(
    public val array: String,
    public val index: Int,
    public val field: String?,
    public val message: String,
)

/**
 * Reads a desired state from TOML and returns either it or all its problems, each with its line.
 *
 * A state without any workspace, service and upstream would take the whole fleet out of service, so it is a problem unless
 * [emptyAllowed] says that it is meant.
 */
public fun readDesiredState(text: String, emptyAllowed: Boolean = false): Result<DesiredState, List<TomlProblem>> {
    val sizeBytes = text.encodeToByteArray().size
    if (sizeBytes > MAX_STATE_BYTES) {
        return Err(listOf(TomlProblem(0, "the file has $sizeBytes bytes; the platform holds $MAX_STATE_BYTES at most")))
    }
    val document: TomlDocument<DesiredState> = readToml(DesiredState.serializer(), text).getOrElse { return Err(it) }
    val empty = listOf(TomlProblem(0, EMPTY_STATE)).takeIf { !emptyAllowed && document.value.isEmpty() }.orEmpty()
    val problems = checkDesiredState(document.value).map {
        TomlProblem(document.lineOf(it.array, it.index, it.field), it.message)
    }
    return if (problems.isEmpty() && empty.isEmpty()) Ok(document.value) else Err((problems + empty).sortedBy { it.line })
}

private fun DesiredState.isEmpty(): Boolean = workspaces.isEmpty() && services.isEmpty() && upstreams.isEmpty()

/** Checks references, names and ranges of [state] and returns every problem; none means that it can be applied. */
public fun checkDesiredState(state: DesiredState): List<StateProblem> = StateCheck(state).run()

private class StateCheck(private val state: DesiredState) {
    private val problems = mutableListOf<StateProblem>()

    fun run(): List<StateProblem> {
        checkDoubles("workspaces", state.workspaces.map { it.id.value })
        checkDoubles("services", state.services.map { it.id.value })
        checkDoubles("upstreams", state.upstreams.map { it.id.value })
        checkWorkspaces()
        checkServices()
        checkUpstreams()
        checkPolicy()
        return problems
    }

    private fun checkDoubles(array: String, names: List<String>) {
        val seen = mutableSetOf<String>()
        names.forEachIndexed { index, name ->
            if (name.isBlank()) report(array, index, "id", "the id is empty; give each entry a name")
            if (!seen.add(name)) report(array, index, "id", "'$name' stands in $array more than once; use each id once")
        }
    }

    private fun checkWorkspaces() {
        val keyOwners = mutableMapOf<String, String>()
        state.workspaces.forEachIndexed { index, workspace ->
            if (!(workspace.share > 0.0) || workspace.share.isInfinite()) {
                report("workspaces", index, "share", "the share of '${workspace.id}' must be above 0, not ${workspace.share}")
            }
            if (workspace.maxQueuedRequests < 1) {
                report("workspaces", index, "maxQueuedRequests", "maxQueuedRequests of '${workspace.id}' must be 1 or more")
            }
            for (hash in workspace.keyHashes) {
                if (!KEY_HASH.matches(hash)) {
                    report(
                        "workspaces",
                        index,
                        "keyHashes",
                        "'$hash' is not a SHA-256 digest of 64 lower-case hexadecimal digits",
                    )
                }
                keyOwners.put(hash, workspace.id.value)?.let {
                    report("workspaces", index, "keyHashes", "'${workspace.id}' and '$it' have the same key; give each its own")
                }
            }
        }
    }

    private fun checkServices() {
        state.services.forEachIndexed { index, service ->
            if (service.classes.isEmpty()) {
                report("services", index, "classes", "'${service.id}' has no latency class; give it at least one")
            }
            if (service.classes.distinctBy { it.id }.size != service.classes.size) {
                report("services", index, "classes", "'${service.id}' names a latency class twice")
            }
            if (service.classes.any { it.deadlineMillis <= 0 || it.estimatedCostUnits <= 0 }) {
                report("services", index, "classes", "deadlineMillis and estimatedCostUnits of '${service.id}' must be above 0")
            }
            if (service.kind == ServiceKind.PLAIN && service.pathPrefix?.startsWith("/") != true) {
                report(
                    "services",
                    index,
                    "pathPrefix",
                    "the plain service '${service.id}' needs a pathPrefix that begins with '/'",
                )
            }
            service.unrepeatable.filterNot { UNREPEATABLE_CALL.matches(it) }.forEach {
                report("services", index, "unrepeatable", "'$it' must have the form 'METHOD /path-prefix'")
            }
        }
    }

    private fun checkUpstreams() {
        val services = state.services.map { it.id }.toSet()
        state.upstreams.forEachIndexed { index, upstream ->
            if (upstream.service !in services) {
                report("upstreams", index, "service", "'${upstream.id}' serves '${upstream.service}', which is not in services")
            }
            if (upstream.slots < 1) {
                report("upstreams", index, "slots", "'${upstream.id}' must have 1 slot or more, not ${upstream.slots}")
            }
            if (!upstream.url.startsWith("http://") && !upstream.url.startsWith("https://")) {
                report("upstreams", index, "url", "the url of '${upstream.id}' must begin with http:// or https://")
            }
        }
    }

    private fun checkPolicy() {
        val policy = state.policy
        val parts = listOf(policy.longShare, policy.retryBudget, policy.hedgeBudget)
        if (parts.any { it !in 0.0..1.0 }) {
            report("policy", 0, null, "longShare, retryBudget and hedgeBudget of policy must be from 0 to 1")
        }
        if (policy.addressTtlMillis <= 0 || policy.controlBytesPerSecond <= 0) {
            report("policy", 0, null, "addressTtlMillis and controlBytesPerSecond of policy must be above 0")
        }
    }

    private fun report(array: String, index: Int, field: String?, message: String) {
        problems += StateProblem(array, index, field, message)
    }

    private companion object {
        val KEY_HASH = Regex("[0-9a-f]{64}")
        val UNREPEATABLE_CALL = Regex("[A-Z]+ /.*")
    }
}
