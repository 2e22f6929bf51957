package io.bluebellramp.samples

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A command to the sample target. A payload holds one or more of them. */
internal sealed interface PayloadCommand {
    /** Waits for [time] before the next command. */
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
    data object CloseConnection : PayloadCommand

    /** Answers with the number of another task, to test how the agent treats a mismatched answer. */
    data object MismatchedAnswer : PayloadCommand

    companion object {
        private const val COMMAND_SEPARATOR = ';'
        private const val ARGUMENT_SEPARATOR = ':'

        /** Parses the commands of [payload], separated by `;`. Text that is not a command is echoed. */
        fun parse(payload: String): List<PayloadCommand> = payload.split(COMMAND_SEPARATOR).map(::parseCommand)

        private fun parseCommand(text: String): PayloadCommand {
            val argument = text.substringAfter(ARGUMENT_SEPARATOR, missingDelimiterValue = "")
            val millis = argument.toLongOrNull()?.takeIf { it >= 0 }
            return when (text.substringBefore(ARGUMENT_SEPARATOR)) {
                "sleep" -> if (millis == null) Echo(text) else Sleep(millis.milliseconds)
                "fail" -> if (millis == null && argument.isNotEmpty()) Echo(text) else Fail((millis ?: 0).milliseconds)
                "echo" -> Echo(argument)
                "cut" -> CloseConnection
                "crossed" -> MismatchedAnswer
                else -> Echo(text)
            }
        }
    }
}
