package io.bluebellramp.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * Summary of the log records of all processes about one job, or about one caller request.
 *
 * @property lines the log records as human-readable lines, ordered by time
 * @property cause one sentence on why the job ended as it did; for a request, the reason of its refusal or the job that it created
 */
internal class Explanation(
    val lines: List<String>,
    val cause: String,
) {
    companion object {
        /** Reads the lines of [logs] in any order. Text before the JSON object of a line is ignored, and so are lines without a JSON object. */
        fun fromLogs(
            id: String,
            logs: Sequence<String>,
        ): Explanation {
            val sorted =
                logs
                    .filter { id in it }
                    .mapNotNull { parse(it) }
                    .filter { it.field("job") == id || it.field("request") == id }
                    .sortedBy { it.field("time") }
            val records = sorted.toList()
            val isRequest = records.isNotEmpty() && records.none { it.field("job") == id }
            return Explanation(records.map { it.format() }, if (isRequest) requestCause(records) else jobCause(records))
        }

        private fun parse(line: String): JsonObject? {
            val objectStart = line.indexOf('{')
            if (objectStart < 0) return null
            return try {
                Json.parseToJsonElement(line.substring(objectStart)) as? JsonObject
            } catch (_: SerializationException) {
                // The line is not a JSON log record.
                null
            }
        }

        private fun List<JsonObject>.refusedCallCause(): String? =
            lastOrNull {
                it.field(
                    "decision",
                ) == "call_refused"
            }?.let { "The call was refused with ${it.field("status")}: ${it.field("reason")}." }

        private fun requestCause(records: List<JsonObject>): String {
            records.refusedCallCause()?.let { return it }
            return "This request handed in job ${records.last().field("job")}; explain that."
        }

        private fun jobCause(records: List<JsonObject>): String {
            if (records.isEmpty()) return NO_RECORDS_CAUSE
            val refusal = records.lastOrNull { it.field("decision") == "refused" }
            val answer = records.lastOrNull { it.field("decision") == "answered" }
            val ending = records.lastOrNull { it.field("decision") == "ending" }
            return when {
                refusal != null && answer == null -> "Refused on arrival: ${refusal.field("reason")}; nothing of it ran."

                answer == null && ending != null -> "Ended without an answer: ${ending.field("reason")}."

                answer == null && records.refusedCallCause() != null -> records.refusedCallCause().orEmpty()

                answer == null -> "No answer is logged: the entry ended, or the job is open."

                else -> "Answered ${answer.field(
                    "outcome",
                )} after ${answer.field("elapsed")} (objective ${answer.field("objective")})${returnedTasksText(records)}."
            }
        }

        private fun returnedTasksText(records: List<JsonObject>): String {
            val returnedTasks = records.filter { it.field("decision") == "task_back" || it.field("decision") == "task_lost" }
            if (returnedTasks.isEmpty()) return ""
            val reasons = returnedTasks.groupingBy { it.field("reason").ifEmpty { "the link to its agent was lost" } }.eachCount()
            return "; tasks were given back: " + reasons.entries.joinToString { "${it.value} x ${it.key}" }
        }

        private fun JsonObject.format(): String {
            val details = entries.filter { it.key !in NON_DETAILS }.joinToString(" ") { "${it.key}=${it.value.jsonPrimitive.content}" }
            return "${field("time")} ${field("node")} ${field("decision")} $details"
        }

        private fun JsonObject.field(name: String) = this[name]?.jsonPrimitive?.content.orEmpty()

        private const val NO_RECORDS_CAUSE =
            "No line names this job: it reached no entry, or its lines were dropped (look for \"log lines dropped\")."

        /** The fields that begin a formatted line or are left out of it. */
        private val NON_DETAILS = setOf("time", "node", "decision", "level", "message", "job")
    }
}
