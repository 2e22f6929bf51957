package io.bluebellramp.runtime

import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.Writer

/** Passes tinylog entries, including those of libraries, to [JsonLines]. It is selected in tinylog by the name `json lines`. */
class JsonLinesWriter(
    @Suppress("UNUSED_PARAMETER") properties: Map<String, String>,
) : Writer {
    override fun getRequiredLogEntryValues() = setOf(LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION)

    override fun write(entry: LogEntry) {
        val lines = JsonLines.installed
        val exception =
            entry.exception
                ?.stackTraceToString()
                ?.take(MAX_TRACE_CHARACTERS)
                .orEmpty()
        if (lines != null) lines.add(entry.level.name, entry.message.orEmpty(), mapOf("exception" to exception))
    }

    override fun flush() {
        JsonLines.installed?.flush()
    }

    override fun close() = flush()

    private companion object {
        /** Longer stack traces are truncated; their first frames show the cause. */
        const val MAX_TRACE_CHARACTERS = 2000
    }
}
