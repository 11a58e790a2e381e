package buckthornbay.router

import arrow.fx.coroutines.ResourceScope
import arrow.fx.coroutines.resourceScope
import buckthornbay.core.config.readDesiredState
import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.HostId
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ZoneId
import buckthornbay.store.DesiredStateStore
import buckthornbay.testkit.StandIns
import buckthornbay.testkit.standIns
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.isSuccess
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.apache.commons.codec.digest.DigestUtils

internal const val TEST_OPERATOR_KEY = "test-operator-key"
private const val READY_TIMEOUT_MILLIS = 30_000L

/** A fleet of in-process routers with stand-ins for the platform and the upstreams. */
internal class TestFleet(
    val standIns: StandIns,
    val routers: List<RouterProcess>,
    val urls: List<String>,
    val client: HttpClient,
) {
    suspend fun complete(url: String, tokens: Int = 8, stream: Boolean = true, key: String = "key-a"): HttpResponse =
        client.post("$url/v1/completions") {
            bearerAuth(key)
            setBody("""{"model":"m","prompt":"hello","max_tokens":$tokens,"stream":$stream}""")
        }

    suspend fun charge(url: String, idempotencyKey: String? = null): HttpResponse = client.post("$url/plain/charges") {
        bearerAuth("key-a")
        idempotencyKey?.let { header("Idempotency-Key", it) }
        setBody("7")
    }
}

/** Runs [test] against a fleet of [hosts] routers that serves [state]; [adapt] gets it with the URLs of the stand-ins. */
internal fun withFleet(
    hosts: Int = 3,
    state: DesiredState = testState(),
    adapt: (DesiredState) -> DesiredState = { it },
    test: suspend TestFleet.() -> Unit,
) = runBlocking {
    resourceScope { startFleet(hosts, state, adapt).test() }
}

private suspend fun ResourceScope.startFleet(hosts: Int, state: DesiredState, adapt: (DesiredState) -> DesiredState): TestFleet {
    val standIns = standIns(state)
    val ports = freeLoopbackPorts(hosts)
    val urls = ports.map { "http://127.0.0.1:$it" }
    val routers = ports.mapIndexed { index, port -> routerProcess(testSettings(index, port, urls, standIns.platformUrl)) }
    val client = install({ HttpClient(Java) { expectSuccess = false } }, { client, _ -> client.close() })
    DesiredStateStore(standIns.store).apply(adapt(standIns.state), expectedVersion = 0, applyId = "first").getOrElse {
        error("$it")
    }
    withTimeout(READY_TIMEOUT_MILLIS) { urls.forEach { url -> while (!client.get("$url/readyz").status.isSuccess()) delay(20) } }
    return TestFleet(standIns, routers, urls, client)
}

internal fun testSettings(index: Int, port: Int, urls: List<String>, platformUrl: String) = RouterSettings(
    host = HostId("host-$index"),
    region = RegionId("north"),
    zone = ZoneId("north-a"),
    url = "http://127.0.0.1:$port",
    listenPort = port,
    platformUrl = platformUrl,
    seedUrls = urls,
    fleetKey = "test-fleet-key",
    operatorKey = TEST_OPERATOR_KEY,
    upstreamSilenceMillis = 1_000,
)

internal fun testState(): DesiredState = checkNotNull(
    readDesiredState(
        """
            [[workspaces]]
            id = "a"
            partner = "p"
            share = 1.0
            keyHashes = ["${DigestUtils.sha256Hex("key-a")}"]
            [[workspaces]]
            id = "b"
            partner = "q"
            share = 1.0
            keyHashes = ["${DigestUtils.sha256Hex("key-b")}"]
            [[services]]
            id = "drafting"
            kind = "model"
            classes = [{ id = "lookup", deadlineMillis = 20000, estimatedCostUnits = 10.0 }]
            [[services]]
            id = "plain"
            kind = "plain"
            pathPrefix = "/plain"
            unrepeatable = ["POST /plain/charges"]
            classes = [{ id = "lookup", deadlineMillis = 20000, estimatedCostUnits = 1.0 }]
            [[upstreams]]
            id = "engine-1"
            service = "drafting"
            region = "north"
            zone = "north-a"
            url = "http://127.0.0.1:1"
            slots = 4
            models = ["m"]
            [[upstreams]]
            id = "engine-2"
            service = "drafting"
            region = "north"
            zone = "north-a"
            url = "http://127.0.0.1:1"
            slots = 4
            models = ["m"]
            [[upstreams]]
            id = "plain-1"
            service = "plain"
            region = "north"
            zone = "north-a"
            url = "http://127.0.0.1:1"
            slots = 4
        """.trimIndent(),
    ).get(),
)
