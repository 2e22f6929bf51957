package io.bluebellramp.agent

import io.bluebellramp.messages.AgentSettings
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.runServer

private const val NAME = "bluebellramp-agent"

/** Runs the agent. */
fun main(args: Array<String>) =
    runServer(
        name = NAME,
        args = args,
        reader = SettingsReader(type = "AgentSettings", serializer = AgentSettings.serializer()),
        logFolder = { it.logFolder },
        instance = { it.agent },
        start = { settings -> AgentProgram(settings).also { it.start() } },
    )
