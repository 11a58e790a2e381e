package buckthornbay.testkit

import buckthornbay.protocol.WireJson
import buckthornbay.store.ListedHost
import buckthornbay.store.StoreError
import buckthornbay.store.StoredObject
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.serialization.builtins.ListSerializer

/** Installs the platform's object API for [store]: versions as entity tags, conditional writes and long-polling reads. */
public fun Application.platformRoutes(store: InMemoryObjectStore) {
    routing {
        get("/objects/{name}") {
            val name = call.parameters["name"].orEmpty()
            val after = call.parameters["after"]?.toLongOrNull()
            val timeoutMillis = call.parameters["timeoutMillis"]?.toLongOrNull() ?: 0
            val result = if (after == null) store.read(name) else store.watch(name, after, timeoutMillis)
            call.respondObject(result, absentStatus = if (after == null) HttpStatusCode.NotFound else HttpStatusCode.NotModified)
        }
        put("/objects/{name}") {
            val expected = call.request.header(HttpHeaders.IfMatch)?.trim('"')?.toLongOrNull() ?: 0
            val result = store.write(call.parameters["name"].orEmpty(), call.receiveText(), expected)
            result.fold(
                success = { call.respondVersion(HttpStatusCode.OK, it) },
                failure = { call.respondError(it) },
            )
        }
        get("/hosts") {
            store.read().fold(
                success = { hosts ->
                    val body = WireJson.encodeToString(ListSerializer(ListedHost.serializer()), hosts)
                    call.respondText(body, ContentType.Application.Json)
                },
                failure = { call.respondError(it) },
            )
        }
    }
}

private suspend fun ApplicationCall.respondObject(result: Result<StoredObject?, StoreError>, absentStatus: HttpStatusCode) {
    result.fold(
        success = { stored ->
            if (stored == null) {
                respond(absentStatus)
            } else {
                response.header(HttpHeaders.ETag, "\"${stored.version}\"")
                respondText(stored.value, ContentType.Application.Json)
            }
        },
        failure = { respondError(it) },
    )
}

private suspend fun ApplicationCall.respondVersion(status: HttpStatusCode, version: Long) {
    response.header(HttpHeaders.ETag, "\"$version\"")
    respond(status)
}

private suspend fun ApplicationCall.respondError(error: StoreError) {
    when (error) {
        is StoreError.Conflict -> respondVersion(HttpStatusCode.PreconditionFailed, error.currentVersion)
        is StoreError.RateLimited -> respond(HttpStatusCode.TooManyRequests)
        is StoreError.TooLarge -> respond(HttpStatusCode.PayloadTooLarge)
        is StoreError.Unavailable -> respond(HttpStatusCode.ServiceUnavailable)
        is StoreError.HistoryGone -> respond(HttpStatusCode.Gone)
        is StoreError.Malformed -> respond(HttpStatusCode.InternalServerError)
        is StoreError.OutcomeUnknown -> awaitCancellation()
    }
}
