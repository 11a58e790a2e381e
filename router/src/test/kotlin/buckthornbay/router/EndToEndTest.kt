package buckthornbay.router

import buckthornbay.protocol.AddressList
import buckthornbay.protocol.RequestEnd
import buckthornbay.protocol.RequestExplanation
import buckthornbay.protocol.WireJson
import buckthornbay.testkit.EngineFaults
import buckthornbay.testkit.PlainFaults
import buckthornbay.testkit.StoreFaults
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EndToEndTest {
    @Test
    fun aCallerGetsAddressesAndACompleteStream() = withFleet {
        val addresses = WireJson.decodeFromString(
            AddressList.serializer(),
            client.get("${urls[0]}/v1/addresses").bodyAsText(),
        )
        val answer = complete(addresses.hosts.first().url, tokens = 5).bodyAsText()
        assertEquals(5, answer.lines().count { it.contains("\"text\"") })
        assertTrue(answer.trim().endsWith("data: [DONE]"), answer)
    }

    @Test
    fun aResponseHasItsOutcomeAndOnlyItsWorkspaceCanReadTheExplanation() = withFleet {
        val response = complete(urls[1], stream = false)
        assertEquals("answered", response.headers["Buckthornbay-End"])
        val id = response.headers["Buckthornbay-Request-Id"]
        val own = client.get("${urls[1]}/v1/requests/$id") { bearerAuth("key-a") }
        val explanation = WireJson.decodeFromString(RequestExplanation.serializer(), own.bodyAsText())
        assertEquals(RequestEnd.ANSWERED, explanation.end)
        assertEquals(HttpStatusCode.NotFound, client.get("${urls[1]}/v1/requests/$id") { bearerAuth("key-b") }.status)
    }

    @Test
    fun requestsWithoutAValidKeyAreRejectedAndNotRun() = withFleet {
        assertEquals(HttpStatusCode.Unauthorized, client.get("${urls[0]}/plain/x").status)
        assertEquals(HttpStatusCode.Forbidden, client.get("${urls[0]}/plain/x") { bearerAuth("wrong") }.status)
        assertEquals(HttpStatusCode.Forbidden, client.get("${urls[0]}/operator/v1/status") { bearerAuth("key-a") }.status)
        assertEquals(0, standIns.services.values.single().runCount.get())
    }

    @Test
    fun anInterruptedStreamIsResumedWithoutLostOrDuplicateTokens() = withFleet {
        standIns.engines.values.forEach { it.faults = EngineFaults(breakAfterTokens = 4) }
        val answer = complete(urls[0], tokens = 10).bodyAsText()
        val words = Regex("\"text\":\"(w\\d+) \"").findAll(answer).map { it.groupValues[1] }.toList()
        assertEquals((0 until 10).map { "w$it" }, words)
    }

    @Test
    fun aStreamThatCannotBeResumedNeverEndsLikeACompleteOne() = withFleet {
        standIns.engines.values.forEach { it.faults = EngineFaults(breakAfterTokens = 1) }
        val outcome = runCatching { complete(urls[0], tokens = 30).bodyAsText() }
        val received = outcome.getOrElse { "" }
        assertTrue(outcome.isFailure || "event: error" in received, received)
        assertTrue("[DONE]" !in received)
    }

    @Test
    fun aRefusedUnrepeatableRequestIsReportedAsNotRunAndDidNotRun() = withFleet {
        val service = standIns.services.values.single()
        service.faults = PlainFaults(rejects = true)
        val response = charge(urls[0])
        assertEquals("not_run", response.headers["Buckthornbay-End"])
        assertEquals(0, service.runCount.get())
    }

    @Test
    fun anUnrepeatableRequestToASilentServiceRunsOnceAndIsReportedAsUnknown() = withFleet {
        val service = standIns.services.values.single()
        service.faults = PlainFaults(silent = true)
        val response = charge(urls[0])
        assertEquals("unknown", response.headers["Buckthornbay-End"])
        assertEquals(1, service.runCount.get())
    }

    @Test
    fun concurrentRequestsWithTheSameKeyOnAllHostsRunOnce() = withFleet {
        val service = standIns.services.values.single()
        val ends = coroutineScope {
            (0 until 9).map {
                async { charge(urls[it % 3], idempotencyKey = "charge-7").headers["Buckthornbay-End"] }
            }.map { it.await() }
        }
        assertEquals(1, service.runsByKey.getValue("charge-7").get())
        assertEquals(mapOf("answered" to 1, "unknown" to 8), ends.groupingBy { it.orEmpty() }.eachCount())
    }

    @Test
    fun aRequestRunsOnceIfTheReplyToItsKeyClaimIsLost() = withFleet {
        standIns.store.faults = StoreFaults(lostReplyCount = 1)
        assertEquals("answered", charge(urls[0], idempotencyKey = "k").headers["Buckthornbay-End"])
        assertEquals("unknown", charge(urls[1], idempotencyKey = "k").headers["Buckthornbay-End"])
        assertEquals(1, standIns.services.values.single().runsByKey.getValue("k").get())
    }

    @Test
    fun duringAPlatformOutageKeyedRequestsAreNotRunAndOthersAreServed() = withFleet {
        standIns.store.faults = StoreFaults(outage = true)
        assertEquals("not_run", charge(urls[0], idempotencyKey = "k").headers["Buckthornbay-End"])
        assertEquals(0, standIns.services.values.single().runCount.get())
        assertEquals("answered", complete(urls[1], stream = false).headers["Buckthornbay-End"])
    }

    @Test
    fun aDrainingHostFinishesItsRequestsAndAcceptsNoNewOnes() = withFleet {
        coroutineScope {
            val running = async { complete(urls[0], tokens = 60).bodyAsText() }
            while (standIns.engines.values.sumOf { it.acceptedCount.get() } == 0L) delay(5)
            val drained = async { routers[0].drain() }
            while (complete(urls[0]).status != HttpStatusCode.ServiceUnavailable) delay(5)
            assertTrue(running.await().trim().endsWith("data: [DONE]"))
            drained.await()
            val addresses = client.get("${urls[1]}/v1/addresses").bodyAsText()
            assertTrue(urls[0] !in addresses, addresses)
        }
    }

    @Test
    fun aRequestRefusedByAnUpstreamIsSentToAnother() = withFleet {
        standIns.engines.values.first().faults = EngineFaults(rejects = true)
        repeat(6) { assertEquals("answered", complete(urls[it % 3], stream = false).headers["Buckthornbay-End"]) }
    }
}
