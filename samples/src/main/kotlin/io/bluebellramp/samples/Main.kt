package io.bluebellramp.samples

import io.bluebellramp.messages.SampleTargetSettings
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.runServer

private const val PROGRAM_NAME = "bluebellramp-target"

/** Runs the sample target. */
fun main(args: Array<String>) =
    runServer(
        name = PROGRAM_NAME,
        args = args,
        reader = SettingsReader(type = "SampleTargetSettings", serializer = SampleTargetSettings.serializer()),
        logFolder = { it.logFolder },
        instance = { it.target },
        start = { settings -> SampleTarget(settings).also { it.start() } },
    )
