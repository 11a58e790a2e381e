package buckthornbay.store

import buckthornbay.protocol.WireJson
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpRequestTimeoutException
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import kotlinx.io.IOException
import kotlinx.serialization.builtins.ListSerializer
import java.net.ConnectException

/**
 * The object API over HTTP with the conditional requests of RFC 9110: versions are entity tags.
 *
 * `GET /objects/NAME`, `PUT` with `If-Match: "VERSION"` or `If-None-Match: *`, and `GET` with `after` and `timeoutMillis` to
 * wait.
 */
public class HttpObjectStore(
    private val client: HttpClient,
    private val baseUrl: String,
    private val settings: HttpStoreSettings = HttpStoreSettings(),
) : ObjectStore,
    HostList {
    override suspend fun read(name: String): Result<StoredObject?, StoreError> =
        call(settings.callTimeoutMillis) { client.get("$baseUrl/objects/$name") { limit(settings.callTimeoutMillis) } }
            .let { result -> stored(result.getOrElse { return Err(it.asUnavailable()) }) }

    override suspend fun write(name: String, value: String, expectedVersion: Long): Result<Long, StoreError> {
        if (value.encodeToByteArray().size > settings.maxValueBytes) return Err(StoreError.TooLarge(settings.maxValueBytes))
        val response =
            call(settings.callTimeoutMillis) {
                client.put("$baseUrl/objects/$name") {
                    limit(settings.callTimeoutMillis)
                    if (expectedVersion == 0L) {
                        header(HttpHeaders.IfNoneMatch, "*")
                    } else {
                        header(HttpHeaders.IfMatch, "\"$expectedVersion\"")
                    }
                    setBody(value)
                }
            }.getOrElse { return Err(it) }
        return when (response.status) {
            HttpStatusCode.OK -> Ok(response.version())
            HttpStatusCode.PreconditionFailed -> Err(StoreError.Conflict(response.version()))
            HttpStatusCode.PayloadTooLarge -> Err(StoreError.TooLarge(settings.maxValueBytes))
            else -> Err(refusal(response))
        }
    }

    override suspend fun watch(name: String, afterVersion: Long, timeoutMillis: Long): Result<StoredObject?, StoreError> {
        val response =
            call(timeoutMillis + settings.callTimeoutMillis) {
                client.get("$baseUrl/objects/$name") {
                    limit(timeoutMillis + settings.callTimeoutMillis)
                    parameter("after", afterVersion)
                    parameter("timeoutMillis", timeoutMillis)
                }
            }.getOrElse { return Err(it.asUnavailable()) }
        return stored(response)
    }

    override suspend fun read(): Result<List<ListedHost>, StoreError> {
        val response =
            call(settings.callTimeoutMillis) { client.get("$baseUrl/hosts") { limit(settings.callTimeoutMillis) } }
                .getOrElse { return Err(it.asUnavailable()) }
        if (response.status != HttpStatusCode.OK) return Err(refusal(response))
        return Ok(WireJson.decodeFromString(ListSerializer(ListedHost.serializer()), response.bodyAsText()))
    }

    private suspend fun stored(response: HttpResponse): Result<StoredObject?, StoreError> = when (response.status) {
        HttpStatusCode.OK -> Ok(StoredObject(response.version(), response.bodyAsText()))
        HttpStatusCode.NotFound, HttpStatusCode.NotModified -> Ok(null)
        else -> Err(refusal(response))
    }

    private fun refusal(response: HttpResponse): StoreError = when (response.status) {
        HttpStatusCode.TooManyRequests -> StoreError.RateLimited(settings.rateLimitBackoffMillis)
        HttpStatusCode.ServiceUnavailable -> StoreError.Unavailable("the platform answers ${response.status}")
        else -> StoreError.OutcomeUnknown("the platform answers ${response.status}")
    }

    private suspend fun call(timeoutMillis: Long, block: suspend () -> HttpResponse): Result<HttpResponse, StoreError> = try {
        Ok(block())
    } catch (e: ConnectException) {
        Err(StoreError.Unavailable(e.message ?: "no connection to the platform"))
    } catch (e: HttpRequestTimeoutException) {
        Err(StoreError.OutcomeUnknown("no answer within $timeoutMillis ms: ${e.message}"))
    } catch (e: IOException) {
        Err(StoreError.OutcomeUnknown(e.message ?: "the connection to the platform broke"))
    }

    private fun HttpRequestBuilder.limit(millis: Long) = timeout { requestTimeoutMillis = millis }

    private fun HttpResponse.version(): Long = headers[HttpHeaders.ETag]?.trim('"')?.toLongOrNull() ?: 0
}

/** A read changes nothing, so one whose reply was lost is just unavailable. */
private fun StoreError.asUnavailable(): StoreError =
    if (this is StoreError.OutcomeUnknown) StoreError.Unavailable(reason) else this

/**
 * Bounds of the calls to the platform.
 *
 * @property callTimeoutMillis how long a call may take, in milliseconds; a watch may take this much longer than it waits.
 * @property rateLimitBackoffMillis how long to wait after a refusal for too many calls, in milliseconds.
 */
public data class HttpStoreSettings(
    public val callTimeoutMillis: Long = 2_000,
    public val rateLimitBackoffMillis: Long = 500,
    public val maxValueBytes: Int = 1_000_000,
)
