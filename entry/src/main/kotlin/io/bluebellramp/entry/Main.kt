package io.bluebellramp.entry

import io.bluebellramp.messages.EntrySettings
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.runServer
import java.nio.file.Path

private const val NAME = "bluebellramp-entry"

/** Starts an entry. */
fun main(args: Array<String>) =
    runServer(
        name = NAME,
        args = args,
        reader = SettingsReader(type = "EntrySettings", serializer = EntrySettings.serializer()),
        logFile = { settings -> settings.logFolder?.let { Path.of(it, "$NAME-${settings.entry}.log") } },
        start = { settings -> EntryProgram(settings).start() },
    )
