package buckthornbay.soak

import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.buildManifest
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/**
 * How a soak is run.
 *
 * @property seed decides all faults and requests.
 * @property seconds how long faults are injected.
 */
public data class SoakSettings(
    public val seed: Long,
    public val seconds: Int,
    public val hosts: Int = 4,
    public val callers: Int = 12,
)

/**
 * What came of a soak.
 *
 * @property violations promises that were broken; none is a pass.
 * @property faults what was injected, with the millisecond of the run.
 */
public data class SoakResult(
    public val violations: List<String>,
    public val faults: List<String>,
    public val requests: Int,
    public val answered: Int,
)

/** Runs real routers as processes of their own against stand-ins, injects faults from outside and checks the promises. */
public class Soak(private val settings: SoakSettings, private val files: FleetFiles) {
    private val promises = Promises()
    private val random = RandomSource.SPLIT_MIX_64.create(settings.seed)
    private val startNanos = System.nanoTime()
    private val faults = ArrayList<String>()
    private val stopping = AtomicBoolean()
    private val soundness = Soundness(settings.hosts, ::nowMillis)
    private var version = 1

    @Volatile
    private var droppedSinceMillis: Long? = null

    /** Runs the soak to its end. */
    public fun run(): SoakResult {
        files.directory.mkdirs()
        PlatformStoreServer().use { store ->
            writeManifest(store)
            val storeProxies = List(settings.hosts) { FaultProxy(store.address) }
            SoakUpstreams(store, promises, soundness, ::nowMillis).use { upstreams ->
                repeat(UPSTREAMS_EACH) { listOf("plain", "models").forEach(upstreams::add) }
                RouterFleet(settings.hosts, files) { storeProxies[it].address }.use { fleet ->
                    play(store, storeProxies, upstreams, fleet)
                }
            }
            storeProxies.forEach { it.close() }
        }
        return SoakResult(promises.violations(), faults, promises.toldCount, promises.answeredCount)
    }

    private fun play(store: PlatformStoreServer, storeProxies: List<FaultProxy>, upstreams: SoakUpstreams, fleet: RouterFleet) {
        awaitReady(fleet)
        val callers = List(settings.callers) { number -> startCaller(number, fleet) }
        val injector = FaultInjector(store, storeProxies, upstreams, fleet, random, soundness, ::note)
        val endMillis = nowMillis() + settings.seconds * MILLIS_PER_SECOND
        while (nowMillis() < endMillis) {
            injector.next()
            if (random.nextInt(CHANGE_ONE_IN) == 0) changeManifest(store)
            Thread.sleep(SHORTEST_PAUSE_MILLIS + random.nextInt(PAUSE_RANGE_MILLIS).toLong())
        }
        injector.heal()
        Thread.sleep(SETTLE_MILLIS)
        stopping.set(true)
        callers.forEach { it.join() }
    }

    private fun awaitReady(fleet: RouterFleet) {
        val endMillis = nowMillis() + START_MILLIS
        while (!fleet.hosts.all { it.isReady() }) {
            check(nowMillis() < endMillis) { "the routers were not ready within $START_MILLIS ms; see ${files.directory}" }
            Thread.sleep(READY_POLL_MILLIS)
        }
    }

    private fun startCaller(number: Int, fleet: RouterFleet): Thread {
        val own: UniformRandomProvider = RandomSource.SPLIT_MIX_64.create(settings.seed * SEED_STRIDE + number)
        val caller = SoakCaller(number, fleet.hosts, promises, own)
        return thread {
            while (!stopping.get()) {
                val route = SoakRoute.entries[own.nextInt(SoakRoute.entries.size)]
                val sentAtMillis = nowMillis()
                val status = caller.call(route)
                if (route == SoakRoute.DROPPED && status == OK) checkDropped(caller, sentAtMillis)
                Thread.sleep(own.nextInt(THINK_MILLIS).toLong())
            }
        }
    }

    private fun checkDropped(caller: SoakCaller, sentAtMillis: Long) {
        val dropped = droppedSinceMillis ?: return
        val sound = soundness.since(caller.hostNumber) ?: return
        val lateMillis = sentAtMillis - maxOf(dropped, sound + CONTACT_MILLIS) - CONFIG_MILLIS
        if (lateMillis > 0) promises.servedDroppedRoute("a request at host ${caller.hostNumber}", lateMillis)
    }

    /** Drops the route that may be dropped, for good; faults of the store may hold the news back, so it is checked late. */
    private fun changeManifest(store: PlatformStoreServer) {
        if (droppedSinceMillis != null) return
        version++
        writeManifest(store)
        droppedSinceMillis = nowMillis()
        note("the manifest drops a route")
    }

    private fun writeManifest(store: PlatformStoreServer) {
        val manifest = buildManifest(version) {
            plainService("plain")
            engineService("models")
            SoakRoute.entries.filter { version == 1 || it != SoakRoute.DROPPED }.forEach { route(it.inManifest()) }
            workspace("workspace", SoakCaller.KEY)
            headTimeoutMillis = HEAD_TIMEOUT_MILLIS
            idleTimeoutMillis = IDLE_TIMEOUT_MILLIS
        }
        store.put("config", "main", manifest)
    }

    private fun note(fault: String) {
        faults += "${nowMillis()} ms: $fault"
    }

    private fun nowMillis(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    internal companion object {
        private const val OK = 200
        private const val MILLIS_PER_SECOND = 1_000L
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val UPSTREAMS_EACH = 3
        private const val CHANGE_ONE_IN = 12
        private const val SHORTEST_PAUSE_MILLIS = 100L
        private const val PAUSE_RANGE_MILLIS = 700
        private const val THINK_MILLIS = 30

        /** Time without faults at the end, in milliseconds: until all bounds hold again, and seconds in which that is seen. */
        private const val SETTLE_MILLIS = 9_000L
        private const val START_MILLIS = 30_000L
        private const val READY_POLL_MILLIS = 50L
        private const val SEED_STRIDE = 1_000

        /** Bounds that paused callers and hosts do not reach by themselves, in milliseconds. */
        private const val HEAD_TIMEOUT_MILLIS = 3_000L
        private const val IDLE_TIMEOUT_MILLIS = 15_000L

        /** Time from a change of the configuration to its being in force, in milliseconds; the platform's bound. */
        private const val CONFIG_MILLIS = 2_500L

        /** Time for which a host may lag after it was disturbed, in milliseconds; the platform's bound. */
        const val CONTACT_MILLIS = 3_000L
    }
}
