package io.bluebellramp.cli

import io.bluebellramp.messages.CommandLineSettings
import io.bluebellramp.runtime.SharedKey
import io.bluebellramp.runtime.createHttpClient

/** The session for the settings and options of a command, or the error in them. */
internal sealed interface SessionResult {
    /** The settings are valid; the command runs in [session]. */
    class Open(
        val session: Session,
    ) : SessionResult

    /** The settings or options are invalid for the reason in [message]. */
    data class Invalid(
        val message: String,
    ) : SessionResult

    companion object {
        private const val LOOPBACK = "127.0.0.1"

        /** Opens a session, or returns why the key file cannot be used. */
        fun open(
            settings: CommandLineSettings,
            json: Boolean,
        ): SessionResult =
            try {
                val key = settings.keyFile?.let { SharedKey.read(it, LOOPBACK) }
                Open(Session(http = createHttpClient(key), settings = settings, output = Output(json)))
            } catch (e: Exception) {
                Invalid("key file: ${e.message}")
            }
    }
}
