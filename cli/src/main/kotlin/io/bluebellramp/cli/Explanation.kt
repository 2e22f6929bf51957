package io.bluebellramp.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * What the logs of all processes say about one job, or about one request of a caller, which names its job.
 *
 * @property lines its lines in the order of time, for people
 * @property cause why it ended as it did, in one sentence
 */
internal class Explanation(
    val lines: List<String>,
    val cause: String,
) {
    companion object {
        /** Reads [logs], in any order, with or without text before the JSON object of a line. Other lines are passed over. */
        fun of(
            id: String,
            logs: Sequence<String>,
        ): Explanation {
            val entries =
                logs
                    .filter { id in it }
                    .mapNotNull { parse(it) }
                    .filter { it.text("job") == id || it.text("request") == id }
                    .sortedBy { it.text("time") }
            val found = entries.toList()
            val isRequest = found.isNotEmpty() && found.none { it.text("job") == id }
            return Explanation(found.map { it.wording() }, if (isRequest) requestCause(found) else cause(found))
        }

        private fun parse(line: String): JsonObject? {
            val begin = line.indexOf('{')
            if (begin < 0) return null
            return try {
                Json.parseToJsonElement(line.substring(begin)) as? JsonObject
            } catch (_: SerializationException) {
                // Not a line of these processes.
                null
            }
        }

        private fun List<JsonObject>.refusedCall(): String? =
            lastOrNull {
                it.text(
                    "decision",
                ) == "call_refused"
            }?.let { "The call was refused with ${it.text("status")}: ${it.text("reason")}." }

        private fun requestCause(entries: List<JsonObject>): String {
            entries.refusedCall()?.let { return it }
            return "This request handed in job ${entries.last().text("job")}; explain that."
        }

        private fun cause(entries: List<JsonObject>): String {
            if (entries.isEmpty()) return NOTHING_KNOWN
            val refusal = entries.lastOrNull { it.text("decision") == "refused" }
            val answer = entries.lastOrNull { it.text("decision") == "answered" }
            val ending = entries.lastOrNull { it.text("decision") == "ending" }
            return when {
                refusal != null && answer == null -> "Refused on arrival: ${refusal.text("reason")}; nothing of it ran."

                answer == null && ending != null -> "Ended without an answer: ${ending.text("reason")}."

                answer == null && entries.refusedCall() != null -> entries.refusedCall().orEmpty()

                answer == null -> "No answer is logged: the entry ended, or the job is open."

                else -> "Answered ${answer.text(
                    "outcome",
                )} after ${answer.text("elapsed")} (objective ${answer.text("objective")})${setbacks(entries)}."
            }
        }

        private fun setbacks(entries: List<JsonObject>): String {
            val back = entries.filter { it.text("decision") == "task_back" || it.text("decision") == "task_lost" }
            if (back.isEmpty()) return ""
            val reasons = back.groupingBy { it.text("reason").ifEmpty { "the link to its agent was lost" } }.eachCount()
            return "; tasks were given back: " + reasons.entries.joinToString { "${it.value} x ${it.key}" }
        }

        private fun JsonObject.wording(): String {
            val rest = entries.filter { it.key !in HEAD }.joinToString(" ") { "${it.key}=${it.value.jsonPrimitive.content}" }
            return "${text("time")} ${text("node")} ${text("decision")} $rest"
        }

        private fun JsonObject.text(name: String) = this[name]?.jsonPrimitive?.content.orEmpty()

        private const val NOTHING_KNOWN =
            "No line names this job: it reached no entry, or its lines were dropped (look for \"log lines dropped\")."
        private val HEAD = setOf("time", "node", "decision", "level", "message", "job")
    }
}
