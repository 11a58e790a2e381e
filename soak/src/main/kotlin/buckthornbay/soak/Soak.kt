package buckthornbay.soak

import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.buildManifest
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/**
 * Settings of a soak run.
 *
 * @property seed seed of the random choice of faults and requests.
 * @property seconds duration of fault injection, in seconds.
 * @property hosts number of router processes.
 * @property callers number of concurrent callers.
 */
public data class SoakSettings(
    public val seed: Long,
    public val seconds: Int,
    public val hosts: Int = 4,
    public val callers: Int = 12,
)

/**
 * Result of a soak run.
 *
 * @property violations violated guarantees; the run passes if there are none.
 * @property faults injected faults, each prefixed with its time since the start of the run.
 * @property requests number of requests whose outcome was recorded.
 * @property answered number of requests that succeeded.
 */
public data class SoakResult(
    public val violations: List<String>,
    public val faults: List<String>,
    public val requests: Int,
    public val answered: Int,
)

/**
 * Runs routers as separate processes with a simulated store and simulated upstreams, injects faults into all of them and into the
 * connections between them, and checks the router's guarantees with [GuaranteeChecker].
 */
public class Soak(private val settings: SoakSettings, private val files: FleetFiles) {
    private val checker = GuaranteeChecker()
    private val random = RandomSource.SPLIT_MIX_64.create(settings.seed)
    private val startNanos = System.nanoTime()
    private val faults = ArrayList<String>()
    private val stopping = AtomicBoolean()
    private val faultFreeTracker = FaultFreeTracker(settings.hosts, ::nowMillis)
    private var version = 1

    @Volatile
    private var routeRemovedAtMillis: Long? = null

    /** Runs the soak and returns its result; blocks until all callers have stopped. */
    public fun run(): SoakResult {
        files.directory.mkdirs()
        PlatformStoreServer().use { store ->
            writeConfiguration(store)
            val storeProxies = List(settings.hosts) { FaultProxy(store.address) }
            SoakUpstreams(store, checker, faultFreeTracker, ::nowMillis).use { upstreams ->
                repeat(UPSTREAMS_PER_SERVICE) { listOf("plain", "models").forEach(upstreams::add) }
                RouterFleet(settings.hosts, files) { storeProxies[it].address }.use { fleet ->
                    runWithFaults(store, storeProxies, upstreams, fleet)
                }
            }
            storeProxies.forEach { it.close() }
        }
        return SoakResult(checker.violations(), faults, checker.outcomeCount, checker.successCount)
    }

    private fun runWithFaults(
        store: PlatformStoreServer,
        storeProxies: List<FaultProxy>,
        upstreams: SoakUpstreams,
        fleet: RouterFleet,
    ) {
        awaitReady(fleet)
        val callers = List(settings.callers) { number -> startCaller(number, fleet) }
        val injector = FaultInjector(store, storeProxies, upstreams, fleet, random, faultFreeTracker, ::recordFault)
        val endMillis = nowMillis() + settings.seconds * MILLIS_PER_SECOND
        while (nowMillis() < endMillis) {
            injector.injectNext()
            if (random.nextInt(MEAN_FAULTS_BEFORE_ROUTE_REMOVAL) == 0) removeRoute(store)
            Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(PAUSE_RANGE_MILLIS).toLong())
        }
        injector.heal()
        Thread.sleep(SETTLE_MILLIS)
        stopping.set(true)
        callers.forEach { it.join() }
    }

    private fun awaitReady(fleet: RouterFleet) {
        val endMillis = nowMillis() + START_TIMEOUT_MILLIS
        while (!fleet.hosts.all { it.isReady() }) {
            check(nowMillis() < endMillis) { "routers not ready after $START_TIMEOUT_MILLIS ms; see logs in ${files.directory}" }
            Thread.sleep(READY_POLL_MILLIS)
        }
    }

    private fun startCaller(number: Int, fleet: RouterFleet): Thread {
        val callerRandom: UniformRandomProvider = RandomSource.SPLIT_MIX_64.create(settings.seed * SEED_STRIDE + number)
        val caller = SoakCaller(number, fleet.hosts, checker, callerRandom)
        return thread {
            while (!stopping.get()) {
                val route = SoakRoute.entries[callerRandom.nextInt(SoakRoute.entries.size)]
                val sentAtMillis = nowMillis()
                val status = caller.call(route)
                if (route == SoakRoute.DROPPED && status == OK) checkRemovedRoute(caller, sentAtMillis)
                Thread.sleep(callerRandom.nextInt(THINK_TIME_RANGE_MILLIS).toLong())
            }
        }
    }

    private fun checkRemovedRoute(caller: SoakCaller, sentAtMillis: Long) {
        val removedAtMillis = routeRemovedAtMillis ?: return
        val faultFreeSince = faultFreeTracker.hostFaultFreeSince(caller.hostIndex) ?: return
        val overdueMillis = sentAtMillis - maxOf(removedAtMillis, faultFreeSince + CATCH_UP_MILLIS) - CONFIG_PROPAGATION_MILLIS
        if (overdueMillis > 0) checker.recordRequestOnRemovedRoute("request to host ${caller.hostIndex}", overdueMillis)
    }

    /** Removes [SoakRoute.DROPPED] permanently; [checkRemovedRoute] allows for faults, which delay the change. */
    private fun removeRoute(store: PlatformStoreServer) {
        if (routeRemovedAtMillis != null) return
        version++
        writeConfiguration(store)
        routeRemovedAtMillis = nowMillis()
        recordFault("configuration removes a route")
    }

    private fun writeConfiguration(store: PlatformStoreServer) {
        val manifest = buildManifest(version) {
            plainService("plain")
            engineService("models")
            SoakRoute.entries.filter { version == 1 || it != SoakRoute.DROPPED }.forEach { route(it.toStandInRoute()) }
            workspace("workspace", SoakCaller.WORKSPACE_KEY)
            headerTimeoutMillis = HEADER_TIMEOUT_MILLIS
            idleTimeoutMillis = IDLE_TIMEOUT_MILLIS
        }
        store.put("config", "main", manifest)
    }

    private fun recordFault(fault: String) {
        faults += "${nowMillis()} ms: $fault"
    }

    private fun nowMillis(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    internal companion object {
        private const val OK = 200
        private const val MILLIS_PER_SECOND = 1_000L
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val UPSTREAMS_PER_SERVICE = 3
        private const val MEAN_FAULTS_BEFORE_ROUTE_REMOVAL = 12
        private const val MIN_PAUSE_MILLIS = 100L
        private const val PAUSE_RANGE_MILLIS = 700
        private const val THINK_TIME_RANGE_MILLIS = 30

        /** Fault-free time at the end of a run, in milliseconds: all recovery bounds plus a few seconds of checked traffic. */
        private const val SETTLE_MILLIS = 9_000L
        private const val START_TIMEOUT_MILLIS = 30_000L
        private const val READY_POLL_MILLIS = 50L
        private const val SEED_STRIDE = 1_000

        /** Limits on request headers and idle connections, in milliseconds; a paused caller or host alone does not reach them. */
        private const val HEADER_TIMEOUT_MILLIS = 3_000L
        private const val IDLE_TIMEOUT_MILLIS = 15_000L

        /** Longest time until a configuration change takes effect, in milliseconds; defined by the platform. */
        private const val CONFIG_PROPAGATION_MILLIS = 2_500L

        /** Longest time for a host to catch up after a fault, in milliseconds; defined by the platform. */
        const val CATCH_UP_MILLIS = 3_000L
    }
}
