package io.bluebellramp.samples

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One step that a payload asks of the sample target. */
internal sealed interface PayloadCommand {
    /** Waits for [time] before the next step. */
    data class Sleep(
        val time: Duration,
    ) : PayloadCommand

    /** Answers with status 500 after [delay]. */
    data class Fail(
        val delay: Duration,
    ) : PayloadCommand

    /** Adds [text] to the result. */
    data class Echo(
        val text: String,
    ) : PayloadCommand

    /** Closes the connection without an answer. */
    data object Cut : PayloadCommand

    /** Answers with the ids of another task. */
    data object Crossed : PayloadCommand

    companion object {
        private const val SEPARATOR = ';'
        private const val ARGUMENT = ':'

        /** Reads the steps of [payload], which `;` separates. Text that names no step is echoed. */
        fun parse(payload: String): List<PayloadCommand> = payload.split(SEPARATOR).map(::step)

        private fun step(text: String): PayloadCommand {
            val argument = text.substringAfter(ARGUMENT, missingDelimiterValue = "")
            val millis = argument.toLongOrNull()?.takeIf { it >= 0 }
            return when (text.substringBefore(ARGUMENT)) {
                "sleep" -> if (millis == null) Echo(text) else Sleep(millis.milliseconds)
                "fail" -> if (millis == null && argument.isNotEmpty()) Echo(text) else Fail((millis ?: 0).milliseconds)
                "echo" -> Echo(argument)
                "cut" -> Cut
                "crossed" -> Crossed
                else -> Echo(text)
            }
        }
    }
}
