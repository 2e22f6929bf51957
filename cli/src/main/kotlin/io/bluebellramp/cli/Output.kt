package io.bluebellramp.cli

import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.describe
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/**
 * Prints the results and failures of commands, as text or as JSON.
 *
 * @property json true to print JSON instead of text
 */
internal class Output(
    val json: Boolean,
) {
    private val prettyJson =
        Json {
            prettyPrint = true
            explicitNulls = false
            encodeDefaults = true
        }

    /** Prints [value] as JSON or, for people, as [toText] formats it. */
    fun <T> print(
        value: T,
        serializer: KSerializer<T>,
        toText: (T) -> String,
    ) {
        println(if (json) prettyJson.encodeToString(serializer, value) else toText(value))
    }

    /** Prints why a call failed and returns the exit code. */
    fun printFailure(result: CallResult.Failure): Int =
        when (result) {
            is CallResult.Refused -> printRefusal(result.error)
            is CallResult.Unreachable -> printUnreachable(result)
        }

    private fun printRefusal(error: ErrorBody): Int {
        if (json) {
            println(prettyJson.encodeToString(ErrorBody.serializer(), error))
        } else {
            System.err.println("refused: ${error.message}")
            error.violations.forEach { System.err.println("  ${it.describe()}") }
        }
        return ExitCode.REFUSED
    }

    private fun printUnreachable(result: CallResult.Unreachable): Int {
        System.err.println("no answer: ${result.message}")
        return ExitCode.FAILED
    }
}
