package buckthornbay.operator

import buckthornbay.protocol.ErrorBody
import buckthornbay.protocol.HostStatus
import buckthornbay.protocol.RequestExplanation
import buckthornbay.protocol.WireJson
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.request
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.http.isSuccess
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException

/** A client for the operator API of routers; failures are returned as error messages. */
internal class RouterApi(private val client: HttpClient, private val operatorKey: String) {
    suspend fun status(url: String): Result<HostStatus, String> =
        call(HttpMethod.Get, "$url/operator/v1/status").map { WireJson.decodeFromString(HostStatus.serializer(), it) }

    suspend fun explain(url: String, id: String): Result<RequestExplanation, String> =
        call(HttpMethod.Get, "$url/operator/v1/requests/$id")
            .map { WireJson.decodeFromString(RequestExplanation.serializer(), it) }

    suspend fun drain(url: String): Result<Unit, String> = call(HttpMethod.Post, "$url/operator/v1/drain").map { }

    private suspend fun call(verb: HttpMethod, url: String): Result<String, String> = try {
        val response = client.request(url) {
            method = verb
            bearerAuth(operatorKey)
            timeout { requestTimeoutMillis = CALL_TIMEOUT_MILLIS }
        }
        val body = response.bodyAsText()
        if (response.status.isSuccess()) Ok(body) else Err("$url returned ${response.status}: ${errorMessageOf(body)}")
    } catch (e: IOException) {
        Err("request to $url failed: ${e.message ?: e.toString()}")
    }

    private fun errorMessageOf(body: String): String = try {
        WireJson.decodeFromString(ErrorBody.serializer(), body).message
    } catch (_: SerializationException) {
        body
    }

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 3_000L
    }
}
