package buckthornbay.router

import buckthornbay.core.Clock
import buckthornbay.core.node.NodeEffect
import buckthornbay.core.node.RouterNode
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors

private val log = KotlinLogging.logger {}

/** An executor of the effects that the node returns; it must not block. */
internal fun interface EffectRunner {
    fun run(effect: NodeEffect)
}

/** The single thread to which a [RouterNode] is confined; all other threads access the node through this class. */
internal class NodeLoop(private val node: RouterNode, private val clock: Clock) : AutoCloseable {
    lateinit var effects: EffectRunner

    private val dispatcher: ExecutorCoroutineDispatcher =
        Executors.newSingleThreadExecutor { task -> Thread(task, "node-loop").apply { isDaemon = true } }.asCoroutineDispatcher()
    private val failureHandler = CoroutineExceptionHandler { _, cause -> haltProcess(cause) }

    /** Runs [decide] on the node thread and performs the returned effects; does not wait for completion. */
    fun post(decide: (RouterNode, Long) -> List<NodeEffect>) {
        dispatcher.executor.execute {
            try {
                decide(node, clock.nowMillis()).forEach(effects::run)
            } catch (e: RuntimeException) {
                haltProcess(e)
            }
        }
    }

    /** Runs [decide] on the node thread and returns its result; any effects in it are left to the caller. */
    suspend fun <T> ask(decide: (RouterNode, Long) -> T): T = withContext(dispatcher) { decide(node, clock.nowMillis()) }

    fun start(scope: CoroutineScope) {
        scope.launch(dispatcher + failureHandler) {
            while (isActive) {
                node.tick(clock.nowMillis()).forEach(effects::run)
                delay(if (node.isBusy) BUSY_TICK_MILLIS else IDLE_TICK_MILLIS)
            }
        }
    }

    override fun close() = dispatcher.close()

    /** Halts the process, because an exception may leave the node in an inconsistent state; the other hosts take over. */
    private fun haltProcess(cause: Throwable) {
        log.error(cause) { "unexpected exception on the node thread; halting the process" }
        Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR)
    }

    private companion object {
        const val EXIT_INTERNAL_ERROR = 70
        const val BUSY_TICK_MILLIS = 20L
        const val IDLE_TICK_MILLIS = 100L
    }
}
