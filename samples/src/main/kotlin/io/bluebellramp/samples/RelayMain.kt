package io.bluebellramp.samples

import io.bluebellramp.messages.RelaySettings
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.runServer
import java.nio.file.Path

private const val NAME = "bluebellramp-relay"

/** Runs the relay for proofs with cut links. */
fun main(args: Array<String>) =
    runServer(
        name = NAME,
        args = args,
        reader = SettingsReader(type = "RelaySettings", serializer = RelaySettings.serializer()),
        logFolder = { it.logFolder },
        instance = {
            it.routes
                .first()
                .listen.port
        },
        start = { settings -> Relay(settings.routes, Partition(Path.of(settings.cutFile))).also { it.start() } },
    )
