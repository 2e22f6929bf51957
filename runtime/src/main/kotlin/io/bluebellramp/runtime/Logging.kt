package io.bluebellramp.runtime

import org.tinylog.ThreadContext
import org.tinylog.configuration.Configuration
import org.tinylog.kotlin.Logger
import java.nio.file.Path

/** Fields of a log line in addition to time, level and message. Other keys of [Decision.fields] are not written to a log file. */
val LOG_FIELDS: List<String> =
    listOf(
        "decision",
        "submission",
        "task",
        "attempt",
        "service",
        "team",
        "target",
        "zone",
        "entry",
        "agent",
        "revision",
        "reason",
        "candidates",
    )

/**
 * Directs the log to [file] as JSON lines, or to the console as text if [file] is null.
 *
 * Call it before any library logs its first line. Later calls fail, because tinylog then no longer accepts configuration. The log
 * levels are set in `tinylog.properties`.
 *
 * @param isAsync true to write lines on a separate thread from an unbounded queue, false to write them on the thread that logs
 */
fun configureLogging(
    file: Path?,
    isAsync: Boolean = true,
) {
    if (file == null) return
    file
        .toAbsolutePath()
        .parent
        ?.toFile()
        ?.mkdirs()
    Configuration.set("writingthread", isAsync.toString())
    Configuration.set("writer", "json")
    Configuration.set("writer.file", file.toString())
    Configuration.set("writer.format", "LDJSON")
    Configuration.set("writer.append", "true")
    Configuration.set("writer.buffered", "false")
    Configuration.set("writer.field.time", "{date:yyyy-MM-dd'T'HH:mm:ss.SSSXXX}")
    Configuration.set("writer.field.level", "{level}")
    Configuration.set("writer.field.message", "{message}")
    LOG_FIELDS.forEach { Configuration.set("writer.field.$it", "{context: $it}") }
}

/**
 * A decision of a process, for example on routing or placement, that is logged as one line.
 *
 * @property kind value of the field `decision`
 * @property reason why it was made, in words
 * @property fields further fields of the line by name
 */
class Decision(
    val kind: String,
    val reason: String,
    val fields: Map<String, Any> = emptyMap(),
)

/** Logs [decision] as one line. Its fields use the same names in all processes, so that a task can be followed across them. */
fun logDecision(decision: Decision) {
    JsonLines.installed?.let { return it.add(decision) }
    ThreadContext.put("decision", decision.kind)
    ThreadContext.put("reason", decision.reason)
    decision.fields.forEach { (name, value) -> ThreadContext.put(name, value.toString()) }
    Logger.info("decision")
    ThreadContext.clear()
}
