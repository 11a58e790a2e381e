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

/** Carries out what the node decided; it must not block. */
internal fun interface EffectRunner {
    fun run(effect: NodeEffect)
}

/** Owns the [RouterNode]: one thread calls it, and everything else talks to that thread. */
internal class NodeLoop(private val node: RouterNode, private val clock: Clock) : AutoCloseable {
    lateinit var effects: EffectRunner

    private val dispatcher: ExecutorCoroutineDispatcher =
        Executors.newSingleThreadExecutor { task -> Thread(task, "node-loop").apply { isDaemon = true } }.asCoroutineDispatcher()
    private val brokenInvariant = CoroutineExceptionHandler { _, cause -> stopProcess(cause) }

    /** Lets the node decide and carries out its effects, without waiting for either. */
    fun post(decide: (RouterNode, Long) -> List<NodeEffect>) {
        dispatcher.executor.execute {
            try {
                decide(node, clock.nowMillis()).forEach(effects::run)
            } catch (e: RuntimeException) {
                stopProcess(e)
            }
        }
    }

    /** Lets the node decide and returns its effects, which the caller carries out. */
    suspend fun <T> ask(decide: (RouterNode, Long) -> T): T = withContext(dispatcher) { decide(node, clock.nowMillis()) }

    fun start(scope: CoroutineScope) {
        scope.launch(dispatcher + brokenInvariant) {
            while (isActive) {
                node.tick(clock.nowMillis()).forEach(effects::run)
                delay(if (node.isBusy) BUSY_TICK_MILLIS else CALM_TICK_MILLIS)
            }
        }
    }

    override fun close() = dispatcher.close()

    /** A node whose decisions failed half-way can't be trusted with the next; the fleet goes on without this process. */
    private fun stopProcess(cause: Throwable) {
        log.error(cause) { "a decision failed; the process stops" }
        Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT)
    }

    private companion object {
        const val EXIT_BROKEN_INVARIANT = 70
        const val BUSY_TICK_MILLIS = 20L
        const val CALM_TICK_MILLIS = 100L
    }
}
