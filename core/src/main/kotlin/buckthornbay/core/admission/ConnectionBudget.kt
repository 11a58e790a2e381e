package buckthornbay.core.admission

/**
 * The connections that a host may have open, by its limit to file descriptors, and what it does as they run out.
 *
 * Load: the callers of a workspace that surges all use one host, which has a caller's and an upstream's connection for each of
 * their requests, and connections that refused callers leave idle. A host without descriptors accepts no connection and reaches
 * no upstream, also for callers of other workspaces.
 *
 * @param descriptors limit to the host's file descriptors; null if it is unknown, so that nothing is limited.
 * @param openCount returns the number of open connections.
 */
public class ConnectionBudget(
    descriptors: Int?,
    private val settings: ConnectionBudgetSettings = ConnectionBudgetSettings(),
    private val openCount: () -> Int,
) {
    private val limit: Int? = descriptors?.let { (it - settings.fileDescriptors).coerceAtLeast(1) }

    /** Part of the connections that are open, in thousandths. */
    public val loadPermille: Int get() = limit?.let { (openCount().toLong() * PER_MILLE / it).toInt() } ?: 0

    /** Whether callers are asked to close their connections after a response, and idle ones are closed. */
    public val isScarce: Boolean get() = loadPermille >= settings.scarcePermille

    /** Whether requests are refused, because the rest is kept for upstreams, peers and the store. */
    public val isReserveReached: Boolean get() = loadPermille >= settings.reservePermille

    /** Whether connections of callers are closed as soon as they are accepted. */
    public val isExhausted: Boolean get() = loadPermille >= settings.exhaustedPermille

    /** Returns how many idle connections to close. */
    public fun surplus(): Int {
        val limit = limit ?: return 0
        return (openCount() - limit.toLong() * settings.scarcePermille / PER_MILLE).toInt().coerceAtLeast(0)
    }

    private companion object {
        const val PER_MILLE = 1_000
    }
}

/**
 * Constants of [ConnectionBudget].
 *
 * @property fileDescriptors descriptors that the process has for files rather than for connections.
 * @property scarcePermille part of the connections from which idle ones are closed, in thousandths; what a surge adds until the
 * address lists name other hosts fits into the rest.
 * @property reservePermille part from which requests are refused, in thousandths; each one needs a connection to an upstream.
 * @property exhaustedPermille part from which no further connection of a caller is kept, in thousandths.
 */
public data class ConnectionBudgetSettings(
    public val fileDescriptors: Int = 200,
    public val scarcePermille: Int = 500,
    public val reservePermille: Int = 850,
    public val exhaustedPermille: Int = 930,
)
