package io.bluebellramp.runtime

import org.tinylog.ThreadContext
import org.tinylog.configuration.Configuration
import org.tinylog.kotlin.Logger
import java.nio.file.Path

/** Fields of a log line besides its time, level and message. Each is a key of [Decision.fields]. */
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
 * Sends the log to [file] as JSON lines, or to the console as text if [file] is null.
 *
 * Call it before any library logs its first line; later it fails. `tinylog.properties` holds the levels.
 *
 * @param isQueued true if lines wait in a queue without a bound for a thread that writes them, false if the caller of the log writes them
 */
fun configureLogging(
    file: Path?,
    isQueued: Boolean = true,
) {
    if (file == null) return
    file
        .toAbsolutePath()
        .parent
        ?.toFile()
        ?.mkdirs()
    Configuration.set("writingthread", isQueued.toString())
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

/** A routing or placement decision, for one log line. */
class Decision(
    val kind: String,
    val reason: String,
    val fields: Map<String, Any> = emptyMap(),
)

/** Logs [decision] as one line. The fields follow a task through all processes. */
fun logDecision(decision: Decision) {
    val lines = JsonLines.installed
    if (lines !=
        null
    ) {
        return lines.add("INFO", "decision", mapOf("decision" to decision.kind, "reason" to decision.reason) + decision.fields)
    }
    ThreadContext.put("decision", decision.kind)
    ThreadContext.put("reason", decision.reason)
    decision.fields.forEach { (name, value) -> ThreadContext.put(name, value.toString()) }
    Logger.info("decision")
    ThreadContext.clear()
}
