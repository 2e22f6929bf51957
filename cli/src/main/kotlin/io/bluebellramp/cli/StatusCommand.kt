package io.bluebellramp.cli

import io.bluebellramp.messages.StatusView
import kotlinx.cli.ArgParser

/** Prints members, leader, the revision in force and who lags. */
internal class StatusCommand : Command(name = "status", summary = "Print members, leader, revision in force and who lags") {
    override fun declare(parser: ArgParser) = printing(StatusView.serializer(), { it.control.status() }) { it.text() }

    private fun StatusView.text(): String =
        buildString {
            appendLine("leader ${leader?.member ?: "none"}  term $term  commit index $commitIndex")
            appendLine("revision $revision  in force ${revisionInForce ?: "unknown"}")
            appendLine(membersText())
            entries.forEach {
                val lag = if (it.oldestPermit < revision) "  LAGS" else ""
                appendLine(
                    "${it.entry}  ${it.address}  ${it.zone}  agents ${it.agents}  permits from ${it.oldestPermit}  silent ${it.silentMillis} ms$lag",
                )
            }
        }.trimEnd()
}
