package buckthornbay.router.gateway

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import sun.misc.Signal
import java.io.File
import java.io.IOException

private val logger = KotlinLogging.logger {}

/** Settings file that is checked for changes periodically and on SIGHUP. */
internal class SettingsFile(private val file: File) {
    private val signals = Channel<Unit>(Channel.CONFLATED)
    private var text = file.readText()

    /** Passes the settings to [apply] whenever the file has changed; logs and skips settings that are invalid. */
    suspend fun follow(apply: (GatewaySettings) -> Unit) {
        Signal.handle(Signal("HUP")) { signals.trySend(Unit) }
        while (true) {
            withTimeoutOrNull(POLL_MILLIS) { signals.receive() }
            changedText()?.let { changed ->
                val settings = readGatewaySettings(changed).getOrElse { problems ->
                    logger.warn { "event=settings_unreadable file=$file reason=\"${problems.joinToString("; ")}\"" }
                    null
                }
                settings?.let(apply)
            }
        }
    }

    private fun changedText(): String? {
        val read = try {
            file.readText()
        } catch (e: IOException) {
            logger.warn { "event=settings_unreadable file=$file reason=\"${e.message}\"" }
            return null
        }
        if (read == text) return null
        text = read
        return read
    }

    private companion object {
        /** Polling period without a signal, in milliseconds. */
        const val POLL_MILLIS = 2_000L
    }
}
