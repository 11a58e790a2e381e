package buckthornbay.store

import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.RequestBody
import okhttp3.Response
import okio.BufferedSink
import java.io.IOException

/**
 * Fails responses that OkHttp accepts although they are invalid, and those that end with their connection before their request
 * was wholly written.
 */
public fun OkHttpClient.Builder.rejectInvalidResponses() {
    addNetworkInterceptor(Interceptor(::proceedChecked))
}

private fun proceedChecked(chain: Interceptor.Chain): Response {
    val request = chain.request()
    val body = request.body?.let(::ObservedBody)
    val response = chain.proceed(if (body == null) request else request.newBuilder().method(request.method, body).build())
    val problem = problemOf(response) ?: problemOfEnd(response, body)
    if (problem != null) {
        response.close()
        throw IOException("the response is invalid: $problem")
    }
    return response
}

private fun problemOf(response: Response): String? {
    val names = response.headers.names()
    val lengths = response.headers("Content-Length")
    val codings = response.headers("Transfer-Encoding")
    return when {
        response.code !in STATUS_CODES -> "its status is ${response.code}"
        names.any { name -> name.isEmpty() || !name.all(::isHttpTokenCharacter) } -> "the name of a field is not a token"
        lengths.size > 1 -> "it has several lengths"
        lengths.any { length -> length.isEmpty() || !length.all { it in '0'..'9' } } -> "its length is not a whole number"
        lengths.isNotEmpty() && codings.isNotEmpty() -> "it has a length and a transfer coding"
        codings.size > 1 || codings.any { !it.equals("chunked", ignoreCase = true) } -> "its transfer coding is not understood"
        else -> null
    }
}

private fun problemOfEnd(response: Response, body: ObservedBody?): String? {
    val hasOwnEnd = response.header("Content-Length") != null || response.header("Transfer-Encoding") != null
    return if (body == null ||
        body.isWritten ||
        hasOwnEnd
    ) {
        null
    } else {
        "it began before the request was written and has no end of its own"
    }
}

/** A request body that tells whether [body] was written to the connection as a whole. */
private class ObservedBody(private val body: RequestBody) : RequestBody() {
    @Volatile
    var isWritten = false
        private set

    override fun contentType() = body.contentType()

    override fun contentLength() = body.contentLength()

    override fun isOneShot() = body.isOneShot()

    override fun writeTo(sink: BufferedSink) {
        body.writeTo(sink)
        sink.flush()
        isWritten = true
    }
}

/** Returns whether [character] may be part of a token, such as the name of a field (RFC 9110, section 5.6.2). */
public fun isHttpTokenCharacter(character: Char): Boolean =
    character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' || character in "!#$%&'*+-.^_`|~"

private val STATUS_CODES = 200..599
