package io.bluebellramp.agent

import io.bluebellramp.messages.AgentSettings
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.runServer
import java.nio.file.Path

private const val NAME = "bluebellramp-agent"

/** Runs the agent. */
fun main(args: Array<String>) =
    runServer(
        name = NAME,
        args = args,
        reader = SettingsReader(type = "AgentSettings", serializer = AgentSettings.serializer()),
        logFile = { settings -> settings.logFolder?.let { Path.of(it, "$NAME-${settings.agent}.log") } },
        start = { settings -> AgentProgram(settings).also { it.start() } },
    )
