package io.bluebellramp.cli

import io.bluebellramp.messages.CommandLineSettings
import io.bluebellramp.runtime.SharedKey
import io.bluebellramp.runtime.httpLink

/** What came of the settings and options of a command. */
internal sealed interface SessionResult {
    /** The command can run in [session]. */
    class Open(
        val session: Session,
    ) : SessionResult

    /** The settings or options are wrong, as [message] says. */
    data class Invalid(
        val message: String,
    ) : SessionResult

    companion object {
        private const val LOOPBACK = "127.0.0.1"

        /** Opens a session, or tells what is wrong with the key file. */
        fun open(
            settings: CommandLineSettings,
            json: Boolean,
        ): SessionResult =
            try {
                val key = settings.keyFile?.let { SharedKey.read(it, LOOPBACK) }
                Open(Session(http = httpLink(key), settings = settings, output = Output(json)))
            } catch (e: Exception) {
                Invalid("key file: ${e.message}")
            }
    }
}
