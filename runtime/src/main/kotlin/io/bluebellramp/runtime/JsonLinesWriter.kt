package io.bluebellramp.runtime

import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.Writer

/** Passes lines of tinylog, also those of libraries, to [JsonLines]. Named `json lines` in `tinylog.properties`. */
class JsonLinesWriter(
    @Suppress("UNUSED_PARAMETER") properties: Map<String, String>,
) : Writer {
    override fun getRequiredLogEntryValues() = setOf(LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION)

    override fun write(entry: LogEntry) {
        val lines = JsonLines.installed
        val exception =
            entry.exception
                ?.stackTraceToString()
                ?.take(LONGEST_TRACE)
                .orEmpty()
        if (lines != null) lines.add(entry.level.name, entry.message.orEmpty(), mapOf("exception" to exception))
    }

    override fun flush() {
        JsonLines.installed?.flush()
    }

    override fun close() = flush()

    private companion object {
        /** Characters of a stack trace; the first frames tell the cause. */
        const val LONGEST_TRACE = 2000
    }
}
