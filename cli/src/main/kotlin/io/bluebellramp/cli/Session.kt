package io.bluebellramp.cli

import io.bluebellramp.messages.CommandLineSettings
import io.ktor.client.HttpClient

/** The clients of the control processes and entries, and the output, that a command uses. */
internal class Session(
    private val http: HttpClient,
    settings: CommandLineSettings,
    val output: Output,
) : AutoCloseable {
    val control = ControlClient(http, settings.controls)
    val entry = EntryClient(http, settings.entries)

    override fun close() = http.close()
}
