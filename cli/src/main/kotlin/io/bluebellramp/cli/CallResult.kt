package io.bluebellramp.cli

import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/** The result of a call to a control process or an entry. */
internal sealed interface CallResult<out T> {
    /** The call succeeded and returned [value]. */
    data class Success<T>(
        val value: T,
    ) : CallResult<T>

    /** The call returned no value. */
    sealed interface Failure : CallResult<Nothing>

    /** The process refused the call with [error]. */
    data class Refused(
        val error: ErrorBody,
    ) : Failure

    /** No process answered. If [mayHaveArrived] is true, it is unknown whether the call took effect. */
    data class Unreachable(
        val message: String,
        val mayHaveArrived: Boolean = true,
    ) : Failure
}

/** Passes the value to [onSuccess], or prints the failure. Returns the exit code. */
internal inline fun <T> CallResult<T>.printFailureOr(
    output: Output,
    onSuccess: (T) -> Int,
): Int =
    when (this) {
        is CallResult.Success -> onSuccess(value)
        is CallResult.Failure -> output.printFailure(this)
    }

/**
 * Decodes the body with [serializer], or as an [ErrorBody] if the status is an error.
 *
 * A response with an error status may hold a value instead of an [ErrorBody]: an entry sends the outcome `not_run` with status 429 or 503.
 */
internal suspend fun <T> HttpResponse.toCallResult(serializer: KSerializer<T>): CallResult<T> {
    val text = bodyAsText()
    val error = if (status.isSuccess()) null else decodeOrNull(ErrorBody.serializer(), text)
    if (error != null) return CallResult.Refused(error)
    return decodeOrNull(serializer, text)?.let { CallResult.Success(it) }
        ?: CallResult.Refused(ErrorBody(code = ErrorCode.INTERNAL, message = "status ${status.value} with a body that cannot be read"))
}

private fun <T> decodeOrNull(
    serializer: KSerializer<T>,
    text: String,
): T? =
    try {
        WireJson.decodeFromString(serializer, text)
    } catch (_: SerializationException) {
        null
    }
