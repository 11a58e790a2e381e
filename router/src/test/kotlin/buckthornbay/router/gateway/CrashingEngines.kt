package buckthornbay.router.gateway

import buckthornbay.testkit.platform.CallerAnswer
import buckthornbay.testkit.platform.ScriptedExchange
import buckthornbay.testkit.platform.ScriptedUpstream
import buckthornbay.testkit.platform.tokenCountHeader
import kotlinx.coroutines.delay

/** Sends request [id] with a prompt part that crashes engines. */
internal fun GatewayFixture.askWithCrashingPart(id: String): CallerAnswer = call(
    request(
        "/once/x",
        id,
        method = "POST",
        body = "a",
        more = "X-Buckthornbay-Prefix-Hash: 5c1e07a2:100,bad0bad0:300,$id:400\r\n" + tokenCountHeader(900, answerTokens = 10),
    ),
)

/** Starts an engine that crashes under request [number], after it has sent [begin], and returns the caller's answer. */
internal suspend fun GatewayFixture.crashNextEngine(number: Int, begin: ScriptedExchange.() -> Unit = {}): CallerAnswer {
    lateinit var engine: ScriptedUpstream
    engine = upstream("models-$number", "models") { exchange ->
        exchange.begin()
        engine.close()
    }
    awaitReady()
    val answer = askWithCrashingPart("$number")
    store.remove("servers", "models-$number")
    GatewayFixture.awaitTrue("the registration is gone") { askWithCrashingPart("gone-$number").status == 503 }
    delay(JOINT_CRASHES_MILLIS)
    return answer
}

/** Time after which another crash counts by itself, in milliseconds. */
private const val JOINT_CRASHES_MILLIS = 300L
