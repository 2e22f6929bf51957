package io.bluebellramp.samples

import io.bluebellramp.messages.RelaySettings
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.runServer
import java.nio.file.Path

private const val PROGRAM_NAME = "bluebellramp-relay"

/** Runs the TCP relay that simulates network partitions in tests. */
fun main(args: Array<String>) =
    runServer(
        name = PROGRAM_NAME,
        args = args,
        reader = SettingsReader(type = "RelaySettings", serializer = RelaySettings.serializer()),
        logFolder = { it.logFolder },
        instance = {
            it.routes
                .first()
                .listen.port
        },
        start = { settings -> Relay(settings.routes, NetworkPartition(Path.of(settings.cutFile))).also { it.start() } },
    )
