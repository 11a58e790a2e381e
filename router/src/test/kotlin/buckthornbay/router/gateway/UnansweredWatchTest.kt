package buckthornbay.router.gateway

import buckthornbay.core.KnownRed
import kotlinx.coroutines.delay
import org.junit.jupiter.api.extension.ExtendWith
import kotlin.test.Test

/**
 * Tests that a host finds changes in time although its watches are not answered.
 *
 * Guards against a host that waits for a response while its knowledge grows older than the changes may be late.
 */
@ExtendWith(KnownRed::class)
class UnansweredWatchTest {
    private fun GatewayFixture.read() = call(request("/read/x")).status

    private fun GatewayFixture.removeReadRoute() = manifest { if (it.name == "read") it.copy(pathPrefix = "/lesen/") else it }

    private suspend fun GatewayFixture.awaitStatus(status: Int, limitMillis: Long) =
        GatewayFixture.awaitTrue("a request is answered with $status", limitMillis) { read() == status }

    @Test
    fun aConfigurationAfterASilentOutageIsInForceInTime() = GatewayFixture.run {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        loseWatches()
        removeReadRoute()
        awaitStatus(404, CONTACT_MILLIS)
    }

    @Test
    fun anUpstreamThatDrainsAfterASilentOutageGetsNoRequestsInTime() = GatewayFixture.run {
        val leaving = upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        loseWatches()
        register("plain-1", "plain", leaving.address, state = "draining", sequence = 2)
        awaitStatus(503, CONTACT_MILLIS)
    }

    /** The watch is told that the history is gone when its wait is over, as if nothing had failed. */
    @Test
    fun changesBehindADroppedHistoryAreInForceInTime() = GatewayFixture.run {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        delay(SETTLE_MILLIS)
        store.deafenWatches()
        removeReadRoute()
        store.compact()
        awaitStatus(404, BOUND_MILLIS)
    }

    /** Its responses are late, not lost. */
    @Test
    fun aConfigurationInASlowStoreIsFound() = GatewayFixture.run {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        store.faults.delayMillis = SLOW_RESPONSE_MILLIS
        delay(2 * BOUND_MILLIS)
        removeReadRoute()
        awaitStatus(404, CONTACT_MILLIS + BOUND_MILLIS)
    }

    /** Lets the store lose all calls that are under way; the next ones are answered. */
    private suspend fun GatewayFixture.loseWatches() {
        delay(SETTLE_MILLIS)
        store.faults.silent = true
        delay(SETTLE_MILLIS)
        store.faults.silent = false
    }

    private companion object {
        /** Time after a change until the host waits for the next one again, in milliseconds. */
        const val SETTLE_MILLIS = 400L

        /** Time of a response of a slow store, in milliseconds: longer than any other call of the store may take. */
        const val SLOW_RESPONSE_MILLIS = 1_500L

        /** Time within which changes must be in force, in milliseconds: the default of the settings. */
        const val BOUND_MILLIS = 2_500L

        /** Time after an outage from which on changes must be in force, in milliseconds. */
        const val CONTACT_MILLIS = 3_000L
    }
}
