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

/** The maximum size of a desired state, in bytes; the platform stores it as a single value. */
public const val MAX_STATE_BYTES: Int = 1_000_000

private const val EMPTY_STATE =
    "the file defines no workspace, service or upstream and would take the whole fleet out of service; " +
        "use --allow-empty to accept it"

/**
 * A validation error in one entry of the desired state.
 *
 * @property array the list that contains the entry, such as `workspaces`.
 * @property index zero-based index of the entry in the list.
 * @property field the invalid field; null if the error concerns the whole entry.
 * @property message the error and how to correct it.
 */
public data class StateProblem(
    public val array: String,
    public val index: Int,
    public val field: String?,
    public val message: String,
)

/**
 * Decodes and validates a desired state in TOML; returns either the state or all errors, each with its line.
 *
 * A state without workspaces, services and upstreams would take the whole fleet out of service, so it is rejected unless
 * [emptyAllowed] is true.
 */
public fun readDesiredState(text: String, emptyAllowed: Boolean = false): Result<DesiredState, List<TomlProblem>> {
    val sizeBytes = text.encodeToByteArray().size
    if (sizeBytes > MAX_STATE_BYTES) {
        return Err(listOf(TomlProblem(0, "the file has $sizeBytes bytes; the maximum is $MAX_STATE_BYTES bytes")))
    }
    val document: TomlDocument<DesiredState> = readToml(DesiredState.serializer(), text).getOrElse { return Err(it) }
    val empty = listOf(TomlProblem(0, EMPTY_STATE)).takeIf { !emptyAllowed && document.value.isEmpty() }.orEmpty()
    val problems = checkDesiredState(document.value).map {
        TomlProblem(document.lineOf(it.array, it.index, it.field), it.message)
    }
    return if (problems.isEmpty() && empty.isEmpty()) Ok(document.value) else Err((problems + empty).sortedBy { it.line })
}

private fun DesiredState.isEmpty(): Boolean = workspaces.isEmpty() && services.isEmpty() && upstreams.isEmpty()

/** Validates names, references and ranges in [state]; returns all errors, or an empty list if the state can be applied. */
public fun checkDesiredState(state: DesiredState): List<StateProblem> = StateCheck(state).run()

private class StateCheck(private val state: DesiredState) {
    private val problems = mutableListOf<StateProblem>()

    fun run(): List<StateProblem> {
        checkDuplicateIds("workspaces", state.workspaces.map { it.id.value })
        checkDuplicateIds("services", state.services.map { it.id.value })
        checkDuplicateIds("upstreams", state.upstreams.map { it.id.value })
        checkWorkspaces()
        checkServices()
        checkUpstreams()
        checkPolicy()
        return problems
    }

    private fun checkDuplicateIds(array: String, names: List<String>) {
        val seen = mutableSetOf<String>()
        names.forEachIndexed { index, name ->
            if (name.isBlank()) report(array, index, "id", "the id must not be empty")
            if (!seen.add(name)) report(array, index, "id", "duplicate id '$name' in $array")
        }
    }

    private fun checkWorkspaces() {
        val keyOwners = mutableMapOf<String, String>()
        state.workspaces.forEachIndexed { index, workspace ->
            if (!(workspace.share > 0.0) || workspace.share.isInfinite()) {
                report("workspaces", index, "share", "the share of '${workspace.id}' must be positive, not ${workspace.share}")
            }
            if (workspace.maxQueuedRequests < 1) {
                report("workspaces", index, "maxQueuedRequests", "maxQueuedRequests of '${workspace.id}' must be at least 1")
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
                    report("workspaces", index, "keyHashes", "'${workspace.id}' and '$it' must not share a key")
                }
            }
        }
    }

    private fun checkServices() {
        state.services.forEachIndexed { index, service ->
            if (service.classes.isEmpty()) {
                report("services", index, "classes", "'${service.id}' must have at least one latency class")
            }
            if (service.classes.distinctBy { it.id }.size != service.classes.size) {
                report("services", index, "classes", "'${service.id}' has duplicate latency classes")
            }
            if (service.classes.any { it.deadlineMillis <= 0 || it.estimatedCostUnits <= 0 }) {
                report("services", index, "classes", "deadlineMillis and estimatedCostUnits of '${service.id}' must be positive")
            }
            if (service.kind == ServiceKind.PLAIN && service.pathPrefix?.startsWith("/") != true) {
                report(
                    "services",
                    index,
                    "pathPrefix",
                    "the plain service '${service.id}' must have a pathPrefix that starts with '/'",
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
                report("upstreams", index, "service", "'${upstream.id}' refers to the unknown service '${upstream.service}'")
            }
            if (upstream.slots < 1) {
                report("upstreams", index, "slots", "'${upstream.id}' must have at least 1 slot, not ${upstream.slots}")
            }
            if (!upstream.url.startsWith("http://") && !upstream.url.startsWith("https://")) {
                report("upstreams", index, "url", "the url of '${upstream.id}' must start with http:// or https://")
            }
        }
    }

    private fun checkPolicy() {
        val policy = state.policy
        val fractions = listOf(policy.longShare, policy.retryBudget, policy.hedgeBudget)
        if (fractions.any { it !in 0.0..1.0 }) {
            report("policy", 0, null, "longShare, retryBudget and hedgeBudget of policy must be between 0 and 1")
        }
        if (policy.addressTtlMillis <= 0 || policy.controlBytesPerSecond <= 0) {
            report("policy", 0, null, "addressTtlMillis and controlBytesPerSecond of policy must be positive")
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
