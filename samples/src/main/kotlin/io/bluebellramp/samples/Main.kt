package io.bluebellramp.samples

import io.bluebellramp.messages.SampleTargetSettings
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.runServer
import java.nio.file.Path

private const val NAME = "bluebellramp-target"

/** Runs the sample target. */
fun main(args: Array<String>) =
    runServer(
        name = NAME,
        args = args,
        reader = SettingsReader(type = "SampleTargetSettings", serializer = SampleTargetSettings.serializer()),
        logFile = { settings -> settings.logFolder?.let { Path.of(it, "$NAME-${settings.target}.log") } },
        start = { settings -> SampleTarget(settings).also { it.start() } },
    )
