package io.bluebellramp.cli

import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/** What came of a call to a process of the system. */
internal sealed interface CallResult<out T> {
    /** The call was answered with [value]. */
    data class Answered<T>(
        val value: T,
    ) : CallResult<T>

    /** The call gave no value. */
    sealed interface Failure : CallResult<Nothing>

    /** The system refused the call. */
    data class Refused(
        val error: ErrorBody,
    ) : Failure

    /** No process answered. If [mayHaveArrived], it is unknown whether the call had an effect. */
    data class Unreachable(
        val message: String,
        val mayHaveArrived: Boolean = true,
    ) : Failure
}

/** Calls [use] with the value, or prints the failure. Returns the exit code. */
internal inline fun <T> CallResult<T>.report(
    output: Output,
    use: (T) -> Int,
): Int =
    when (this) {
        is CallResult.Answered -> use(value)
        is CallResult.Failure -> output.failure(this)
    }

/**
 * Decodes the body as [serializer] says on success, and as [ErrorBody] otherwise.
 *
 * A body that is no [ErrorBody] may be a value with any status: an entry says `not_run` with 429 and 503.
 */
internal suspend fun <T> HttpResponse.decode(serializer: KSerializer<T>): CallResult<T> {
    val text = bodyAsText()
    val error = if (status.isSuccess()) null else read(ErrorBody.serializer(), text)
    if (error != null) return CallResult.Refused(error)
    return read(serializer, text)?.let { CallResult.Answered(it) }
        ?: CallResult.Refused(ErrorBody(code = ErrorCode.INTERNAL, message = "status ${status.value} with a body that cannot be read"))
}

private fun <T> read(
    serializer: KSerializer<T>,
    text: String,
): T? =
    try {
        WireJson.decodeFromString(serializer, text)
    } catch (_: SerializationException) {
        null
    }
