package buckthornbay.testkit

import arrow.fx.coroutines.resourceScope
import buckthornbay.protocol.DesiredState
import buckthornbay.store.DesiredStateStore
import buckthornbay.store.HttpObjectStore
import buckthornbay.store.HttpStoreSettings
import buckthornbay.store.ObjectStore
import buckthornbay.store.StoreError
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
import io.ktor.client.plugins.HttpTimeout
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** The contract of [ObjectStore], tested on the in-memory stand-in directly and on the HTTP client connected to it. */
class ObjectStoreContractTest {
    private fun runOnEachStore(test: suspend (ObjectStore, InMemoryObjectStore) -> Unit) = runBlocking {
        val inMemory = InMemoryObjectStore()
        test(inMemory, inMemory)
        resourceScope {
            val standIns = standIns(DesiredState())
            val client = install({ HttpClient(Java) { install(HttpTimeout) } }, { client, _ -> client.close() })
            val settings = HttpStoreSettings(callTimeoutMillis = 1_000)
            test(HttpObjectStore(client, standIns.platformUrl, settings), standIns.store)
        }
    }

    @Test
    fun versionsRiseAndAreConditional() = runOnEachStore { store, _ ->
        assertNull(store.read("x").get())
        val first = checkNotNull(store.write("x", "1", expectedVersion = 0).get())
        assertEquals(StoreError.Conflict(first), store.write("x", "2", expectedVersion = 0).getError())
        val second = checkNotNull(store.write("x", "2", first).get())
        assertTrue(second > first)
        assertEquals("2", store.read("x").get()?.value)
    }

    @Test
    fun versionsRiseAcrossObjectsSoThatTheyFence() = runOnEachStore { store, _ ->
        val first = checkNotNull(store.write("x", "1", 0).get())
        val second = checkNotNull(store.write("y", "1", 0).get())
        assertTrue(second > first)
    }

    @Test
    fun aWatchReturnsTheNextVersionOrNothing() = runOnEachStore { store, _ ->
        val first = checkNotNull(store.write("x", "1", 0).get())
        assertNull(store.watch("x", first, timeoutMillis = 50).get())
        coroutineScope {
            val next = async { store.watch("x", first, timeoutMillis = 20_000).get() }
            delay(50)
            store.write("x", "2", first)
            assertEquals("2", next.await()?.value)
        }
    }

    @Test
    fun anOutageChangesNothingAndIsSaidSo() = runOnEachStore { store, standIn ->
        standIn.faults = StoreFaults(outage = true)
        assertIs<StoreError.Unavailable>(store.write("x", "1", 0).getError())
        assertIs<StoreError.Unavailable>(store.read("x").getError())
        standIn.faults = StoreFaults()
        assertNull(store.read("x").get())
    }

    @Test
    fun aValueThatIsTooLargeIsRefused() = runOnEachStore { store, _ ->
        assertIs<StoreError.TooLarge>(store.write("x", "y".repeat(1_000_001), 0).getError())
    }

    @Test
    fun aLostReplyLeavesTheOutcomeUnknownAndApplySettlesIt() = runOnEachStore { store, standIn ->
        standIn.faults = StoreFaults(lostReplyCount = 1)
        assertIs<StoreError.OutcomeUnknown>(store.write("x", "1", 0).getError())
        standIn.faults = StoreFaults(lostReplyCount = 1)
        val states = DesiredStateStore(store)
        val version = states.apply(DesiredState(), expectedVersion = 0, applyId = "mine").get()
        assertEquals(version, states.read().get()?.version)
        assertEquals("mine", states.read().get()?.applyId)
    }

    @Test
    fun ofTwoOperatorsAtOnceExactlyOneWins() = runOnEachStore { store, _ ->
        val states = DesiredStateStore(store)
        val results = coroutineScope {
            listOf("one", "two").map {
                async { states.apply(DesiredState(), expectedVersion = 0, applyId = it) }
            }.map { it.await() }
        }
        assertEquals(1, results.count { it.isOk })
        assertIs<StoreError.Conflict>(results.first { it.isErr }.getError())
    }
}
