package io.bluebellramp.entry

import io.bluebellramp.messages.EntrySettings
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.runServer

private const val NAME = "bluebellramp-entry"

/** Starts an entry process. */
fun main(args: Array<String>) =
    runServer(
        name = NAME,
        args = args,
        reader = SettingsReader(type = "EntrySettings", serializer = EntrySettings.serializer()),
        logFolder = { it.logFolder },
        instance = { it.entry },
        queuesLog = false,
        start = { settings -> EntryProgram(settings).start() },
    )
