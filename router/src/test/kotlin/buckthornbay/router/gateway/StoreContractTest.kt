package buckthornbay.router.gateway

import arrow.fx.coroutines.resourceScope
import buckthornbay.testkit.platform.PlatformStoreServer
import buckthornbay.testkit.platform.buildRegistration
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonUnquotedLiteral
import kotlinx.serialization.json.jsonObject
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests that a host keeps serving while the store fails or delivers invalid objects. */
@OptIn(ExperimentalSerializationApi::class)
class StoreContractTest {
    private companion object {
        /**
         * Time limit for applying a change after an outage: `ContactMs` (3,000 ms) to reach the store again and `ConfigMs`
         * (2,500 ms) to apply the change.
         */
        const val AFTER_OUTAGE_MILLIS = 5_500L

        /** Time after the last change of a registration until the gateway waits for the next one again. */
        const val WATCH_RESTART_MILLIS = 400L

        /** Registrations that another writer left, as JSON; each names no upstream that can be used. */
        val ODD_REGISTRATIONS = listOf(
            "[".repeat(NESTING) + "]".repeat(NESTING),
            "{\"a\":".repeat(NESTING) + "1" + "}".repeat(NESTING),
            oddRegistration("Backend", "[".repeat(NESTING) + "]".repeat(NESTING)),
            oddRegistration("Slots", "1e400"),
            oddRegistration("Slots", "9".repeat(30)),
            oddRegistration("born", "9".repeat(30)),
            oddRegistration("Seq", "-1e999"),
            oddRegistration("Address", "\"127.0.0.1:70000\""),
            oddRegistration("Address", "\"127.0.0.1:0\""),
            oddRegistration("Address", "\"999.1.1.1:80\""),
            oddRegistration("Address", "\"localhost:80\""),
            oddRegistration("Version", "1"),
            oddRegistration("Version", "null"),
            oddRegistration("Version", "\"\""),
            oddRegistration("Note", "\"${"x".repeat(200_000)}\""),
        )

        /** Depth at which recursive parsers overflow any usual stack. */
        const val NESTING = 100_000

        /** Returns a valid registration, but for the [value] of [field]. */
        fun oddRegistration(field: String, value: String): String {
            val fields = buildRegistration("plain", "127.0.0.1:1").jsonObject.mapValues { it.value.toString() } + (field to value)
            return fields.entries.joinToString(",", "{", "}") { (name, text) -> "\"$name\":$text" }
        }
    }

    private fun GatewayFixture.read(id: String = "id") = call(request("/read/x", id))

    private fun GatewayFixture.removeReadRoute() = manifest { if (it.name == "read") it.copy(pathPrefix = "/lesen/") else it }

    @Test
    fun aHostBecomesReadyWhenTheStoreRecovers() = GatewayFixture.run(
        prepare = {
            manifest()
            store.faults.busy = true
        },
    ) {
        delay(300)
        assertEquals(503, read().status)
        store.faults.busy = false
        awaitReady()
    }

    @Test
    fun aNewConfigurationIsAppliedWithinItsTimeLimit() = GatewayFixture.run {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        removeReadRoute()
        GatewayFixture.awaitTrue("the removed route is not served", limitMillis = 2_500) { read().status == 404 }
        assertEquals(200, call(request("/lesen/x")).status)
    }

    @Test
    fun anInvalidOrOlderConfigurationIsIgnored() = GatewayFixture.run {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        store.put("config", "main", Json.parseToJsonElement("""{"Version":"none"}"""))
        store.put("config", "main", Json.parseToJsonElement("""{"Version":0,"Routes":[]}"""))
        delay(300)
        assertEquals(200, read().status)
    }

    @Test
    fun invalidRegistrationsAreSkippedAndTheOthersStayInUse() = GatewayFixture.run(
        prepare = {
            manifest()
            listOf(
                """{"Backend":"plain"}""",
                """{"Backend":"plain","Address":"nowhere","Zone":"zone","Version":"v1","Slots":8,"State":"ready"}""",
                """{"Backend":7,"Address":"127.0.0.1:1","Zone":"zone","Version":"v1","Slots":"many","State":"ready"}""",
                """{"Backend":"plain","Address":"127.0.0.1:1","Zone":"zone","Version":"v1","Slots":8,"State":"asleep"}""",
                """{"Backend":"unnamed","Address":"127.0.0.1:1","Zone":"zone","Version":"v1","Slots":8,"State":"ready"}""",
                "[]",
                "null",
            ).forEachIndexed { index, entry -> store.put("servers", "strange-$index", Json.parseToJsonElement(entry)) }
        },
    ) {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        repeat(20) { assertEquals(200, read("id-$it").status) }
    }

    /** Another writer leaves odd registrations, before the host starts and while it watches. */
    @Test
    fun oddRegistrationsCostNoOther() = GatewayFixture.run(
        prepare = {
            manifest()
            ODD_REGISTRATIONS.forEachIndexed { index, text -> store.put("servers", "odd-$index", JsonUnquotedLiteral(text)) }
        },
    ) {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        repeat(10) { assertEquals(200, read("id-$it").status) }
        ODD_REGISTRATIONS.forEachIndexed { index, text ->
            store.put("servers", "late-$index", JsonUnquotedLiteral(text))
            upstream("plain-added-$index", "plain") { it.answer() }
            GatewayFixture.awaitTrue("the upstream beside odd registration $index is known", limitMillis = 2_500) {
                assertEquals(200, read("id-$index").status)
                "plain-added-$index" in knownRegistrations()
            }
        }
        assertEquals(emptySet(), knownRegistrations().keys.filter { it.startsWith("odd") || it.startsWith("late") }.toSet())
    }

    @Test
    fun aDrainingUpstreamGetsNoNewRequests() = GatewayFixture.run {
        val leaving = upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        assertEquals(200, read().status)
        register("plain-1", "plain", leaving.address, state = "draining", sequence = 2)
        val other = upstream("plain-2", "plain") { it.answer() }
        GatewayFixture.awaitTrue("the other upstream is used", limitMillis = 2_500) {
            read()
            other.requests.isNotEmpty()
        }
        val before = leaving.requests.size
        repeat(20) { assertEquals(200, read("after-$it").status) }
        assertEquals(before, leaving.requests.size)
    }

    @Test
    fun changesInACompactedHistoryAreFoundByListingAgain() = GatewayFixture.run {
        val upstream = upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        store.faults.silent = true
        removeReadRoute()
        store.remove("servers", "plain-1")
        store.compact()
        store.faults.silent = false
        GatewayFixture.awaitTrue("the change is applied", limitMillis = AFTER_OUTAGE_MILLIS) { read().status == 404 }
        GatewayFixture.awaitTrue("the removed upstream is not used", limitMillis = AFTER_OUTAGE_MILLIS) {
            call(request("/lesen/x")).status ==
                503
        }
        val before = upstream.requests.size
        repeat(5) { assertEquals(503, call(request("/lesen/x", "after-$it")).status) }
        assertEquals(before, upstream.requests.size)
    }

    /** The watch of the configuration may answer at once while that of the registrations hangs until it times out. */
    @Test
    fun aRemovedUpstreamIsUsedOnBehindASilentWatch() = GatewayFixture.run {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        delay(WATCH_RESTART_MILLIS)
        store.faults.silentKinds = setOf("servers")
        delay(50)
        store.remove("servers", "plain-1")
        store.compact()
        store.faults.silentKinds = emptySet()
        GatewayFixture.awaitTrue("the removed upstream is not used", limitMillis = AFTER_OUTAGE_MILLIS) { read().status == 503 }
    }

    /** Failed watches of the configuration say nothing about the registrations, which are still read. */
    @Test
    fun aRemovedUpstreamIsUsedOnWhileTheConfigurationCannotBeRead() = GatewayFixture.run {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        store.faults.busyKinds = setOf("config")
        delay(WATCH_RESTART_MILLIS)
        store.remove("servers", "plain-1")
        GatewayFixture.awaitTrue("the removed upstream is not used", limitMillis = AFTER_OUTAGE_MILLIS) { read().status == 503 }
    }

    @Test
    fun aSilentWatchTimesOutWhileRequestsAreServed() = GatewayFixture.run {
        upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        store.faults.silent = true
        repeat(10) {
            assertEquals(200, read("silent-$it").status)
            delay(100)
        }
        store.faults.silent = false
        removeReadRoute()
        GatewayFixture.awaitTrue("the change is applied", limitMillis = AFTER_OUTAGE_MILLIS) { read().status == 404 }
    }

    @Test
    fun registrationsThatExpireInAnOutageStayInUseDuringTheGracePeriod() = GatewayFixture.run {
        val upstream = upstream("plain-1", "plain") { it.answer() }
        awaitReady()
        assertEquals(200, read().status)
        store.faults.busy = true
        delay(2_200)
        store.remove("servers", "plain-1")
        store.faults.busy = false
        delay(1_000)
        assertEquals(200, read("lapsed").status)
        register("plain-1", "plain", upstream.address, sequence = 9)
        delay(2_500)
        assertEquals(200, read("back").status)
    }

    @Test
    fun aHostWithoutAccessToTheStoreLearnsFromItsPeers() = runBlocking {
        PlatformStoreServer().use { store ->
            PlatformStoreServer().use { busyStore ->
                busyStore.faults.busy = true
                GatewayFixture(store).use { first ->
                    first.manifest()
                    first.upstream("plain-1", "plain") { it.answer() }
                    GatewayFixture(busyStore, "edge-2", seeds = listOf(first.settings.listen.control)).use { second ->
                        resourceScope {
                            gatewayProcess(first.settings, GatewayFixture.DEPLOYMENT)
                            gatewayProcess(second.settings, GatewayFixture.DEPLOYMENT)
                            second.awaitReady()
                            assertEquals(200, second.read().status)
                            first.removeReadRoute()
                            GatewayFixture.awaitTrue("the change is applied", limitMillis = 2_500) {
                                second.read().status == 404
                            }
                        }
                    }
                }
            }
        }
    }

    @Test
    fun addressListsContainLivePeersAndNoStoppingHost() = runBlocking {
        PlatformStoreServer().use { store ->
            GatewayFixture(store).use { first ->
                first.manifest()
                GatewayFixture(store, "edge-2", seeds = listOf(first.settings.listen.control)).use { second ->
                    resourceScope {
                        gatewayProcess(first.settings, GatewayFixture.DEPLOYMENT)
                        val stopping = gatewayProcess(second.settings, GatewayFixture.DEPLOYMENT)
                        GatewayFixture.awaitTrue("both hosts are listed") { first.addresses().body.count { it == ':' } >= 4 }
                        stopping.drain()
                        assertTrue(second.settings.listen.callers !in first.addresses().body)
                        assertTrue(first.settings.listen.callers in first.addresses().body)
                    }
                }
            }
        }
    }

    private fun GatewayFixture.addresses() = caller(settings.listen.addresses).use { caller ->
        caller.send("GET /v1/resolve?Name=a.example&Region=region&Zone=zone HTTP/1.1\r\nHost: x\r\n\r\n")
        caller.answer()
    }

    @Test
    fun aStoppingHostAnswersReceivedRequestsAndClosesCallerConnections() = GatewayFixture.run { process ->
        upstream("plain-1", "plain") { exchange ->
            Thread.sleep(800)
            exchange.answer()
        }
        awaitReady()
        caller().use { caller ->
            caller.send(request("/charge/x", method = "POST", body = "a"))
            delay(100)
            process.drain()
            val answer = caller.answer()
            assertEquals(200, answer.status)
            assertEquals("close", answer.headers["connection"])
        }
    }
}
