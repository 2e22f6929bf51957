package io.bluebellramp.cli

import io.bluebellramp.messages.StatusView
import kotlinx.cli.ArgParser

/** Prints the control members, the leader, the revision in force and the entries with permits of older revisions. */
internal class StatusCommand : Command(name = "status", summary = "Print members, leader, revision in force and who lags") {
    override fun declareArguments(parser: ArgParser) = printAction(StatusView.serializer(), { it.control.status() }) { it.toText() }

    private fun StatusView.toText(): String =
        buildString {
            appendLine("leader ${leader?.member ?: "none"}  term $term  commit index $commitIndex")
            appendLine("revision $revision  in force ${revisionInForce ?: "unknown"}")
            appendLine(formatMembers())
            entries.forEach {
                val lag = if (it.oldestPermit < revision) "  LAGS" else ""
                appendLine(
                    "${it.entry}  ${it.address}  ${it.zone}  agents ${it.agents}  permits from ${it.oldestPermit}  silent ${it.silentMillis} ms$lag",
                )
            }
        }.trimEnd()
}
