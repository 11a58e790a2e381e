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
 * HTTP client of the object store; uses the conditional requests of RFC 9110 with versions as entity tags.
 *
 * It reads with `GET /objects/NAME`, writes with `PUT` and `If-Match: "VERSION"` or `If-None-Match: *`, and watches by long
 * polling with `GET` and the parameters `after` and `timeoutMillis`.
 */
public class HttpObjectStore(
    private val client: HttpClient,
    private val baseUrl: String,
    private val settings: HttpStoreSettings = HttpStoreSettings(),
) : ObjectStore,
    HostList {
    override suspend fun read(name: String): Result<StoredObject?, StoreError> =
        call(settings.callTimeoutMillis) { client.get("$baseUrl/objects/$name") { requestTimeout(settings.callTimeoutMillis) } }
            .let { result -> storedObject(result.getOrElse { return Err(it.asUnavailable()) }) }

    override suspend fun write(name: String, value: String, expectedVersion: Long): Result<Long, StoreError> {
        if (value.encodeToByteArray().size > settings.maxValueBytes) return Err(StoreError.TooLarge(settings.maxValueBytes))
        val response =
            call(settings.callTimeoutMillis) {
                client.put("$baseUrl/objects/$name") {
                    requestTimeout(settings.callTimeoutMillis)
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
            else -> Err(toStoreError(response))
        }
    }

    override suspend fun watch(name: String, afterVersion: Long, timeoutMillis: Long): Result<StoredObject?, StoreError> {
        val response =
            call(timeoutMillis + settings.callTimeoutMillis) {
                client.get("$baseUrl/objects/$name") {
                    requestTimeout(timeoutMillis + settings.callTimeoutMillis)
                    parameter("after", afterVersion)
                    parameter("timeoutMillis", timeoutMillis)
                }
            }.getOrElse { return Err(it.asUnavailable()) }
        return storedObject(response)
    }

    override suspend fun read(): Result<List<ListedHost>, StoreError> {
        val response =
            call(settings.callTimeoutMillis) { client.get("$baseUrl/hosts") { requestTimeout(settings.callTimeoutMillis) } }
                .getOrElse { return Err(it.asUnavailable()) }
        if (response.status != HttpStatusCode.OK) return Err(toStoreError(response))
        return Ok(WireJson.decodeFromString(ListSerializer(ListedHost.serializer()), response.bodyAsText()))
    }

    private suspend fun storedObject(response: HttpResponse): Result<StoredObject?, StoreError> = when (response.status) {
        HttpStatusCode.OK -> Ok(StoredObject(response.version(), response.bodyAsText()))
        HttpStatusCode.NotFound, HttpStatusCode.NotModified -> Ok(null)
        else -> Err(toStoreError(response))
    }

    private fun toStoreError(response: HttpResponse): StoreError = when (response.status) {
        HttpStatusCode.TooManyRequests -> StoreError.RateLimited(settings.rateLimitBackoffMillis)
        HttpStatusCode.ServiceUnavailable -> StoreError.Unavailable("the platform responded with status ${response.status}")
        else -> StoreError.OutcomeUnknown("the platform responded with status ${response.status}")
    }

    private suspend fun call(timeoutMillis: Long, block: suspend () -> HttpResponse): Result<HttpResponse, StoreError> = try {
        Ok(block())
    } catch (e: ConnectException) {
        Err(StoreError.Unavailable(e.message ?: "connection to the platform failed"))
    } catch (e: HttpRequestTimeoutException) {
        Err(StoreError.OutcomeUnknown("no response within $timeoutMillis ms: ${e.message}"))
    } catch (e: IOException) {
        Err(StoreError.OutcomeUnknown(e.message ?: "connection to the platform was lost"))
    }

    private fun HttpRequestBuilder.requestTimeout(millis: Long) = timeout { requestTimeoutMillis = millis }

    private fun HttpResponse.version(): Long = headers[HttpHeaders.ETag]?.trim('"')?.toLongOrNull() ?: 0
}

/** Converts [StoreError.OutcomeUnknown] to [StoreError.Unavailable], since a read whose response is lost has changed nothing. */
private fun StoreError.asUnavailable(): StoreError =
    if (this is StoreError.OutcomeUnknown) StoreError.Unavailable(reason) else this

/**
 * Limits of the calls to the object store.
 *
 * @property callTimeoutMillis timeout of a call, in milliseconds; for a watch it is added to the time that the watch waits.
 * @property rateLimitBackoffMillis backoff after a rate-limited call, in milliseconds.
 * @property maxValueBytes maximum size of a written value, in bytes.
 */
public data class HttpStoreSettings(
    public val callTimeoutMillis: Long = 2_000,
    public val rateLimitBackoffMillis: Long = 500,
    public val maxValueBytes: Int = 1_000_000,
)
