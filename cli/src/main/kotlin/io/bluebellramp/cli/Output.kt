package io.bluebellramp.cli

import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.wording
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/**
 * Prints what a command found, for people or as JSON.
 *
 * @property json true to print JSON
 */
internal class Output(
    val json: Boolean,
) {
    private val pretty =
        Json {
            prettyPrint = true
            explicitNulls = false
            encodeDefaults = true
        }

    /** Prints [value] as JSON, or the lines of [text]. */
    fun <T> print(
        value: T,
        serializer: KSerializer<T>,
        text: (T) -> String,
    ) {
        println(if (json) pretty.encodeToString(serializer, value) else text(value))
    }

    /** Prints why a call gave no value and returns the exit code. */
    fun failure(result: CallResult.Failure): Int =
        when (result) {
            is CallResult.Refused -> refused(result.error)
            is CallResult.Unreachable -> unreachable(result)
        }

    private fun refused(error: ErrorBody): Int {
        if (json) {
            println(pretty.encodeToString(ErrorBody.serializer(), error))
        } else {
            System.err.println("refused: ${error.message}")
            error.violations.forEach { System.err.println("  ${it.wording()}") }
        }
        return ExitCode.REFUSED
    }

    private fun unreachable(result: CallResult.Unreachable): Int {
        System.err.println("no answer: ${result.message}")
        return ExitCode.FAILED
    }
}
