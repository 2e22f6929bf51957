package io.bluebellramp.control

import io.bluebellramp.core.StrictJson
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.Violation
import io.bluebellramp.runtime.BodyResult
import io.bluebellramp.runtime.SchemaValidator
import io.bluebellramp.runtime.readBody
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/** Largest body of an operator's call. */
internal const val MAX_OPERATOR_BODY_BYTES = 4L * 1024 * 1024

/** Largest body of a lease or vote request. */
internal const val MAX_SMALL_BODY_BYTES = 64L * 1024

/** Largest body of a batch of at most 1,000 claims or releases. */
internal const val MAX_CLAIMS_BODY_BYTES = 1024L * 1024

/** Largest body of a request with log records; fits the largest configuration change with every character escaped. */
internal const val MAX_LOG_BODY_BYTES = 16L * 1024 * 1024

/** Result of decoding a request body. */
internal sealed interface DecodedBody<out T> {
    /** The body is valid for its schema type. */
    data class Valid<T>(
        val value: T,
    ) : DecodedBody<T>

    /** The body is invalid because of [violations]. */
    data class Invalid(
        val violations: List<Violation>,
    ) : DecodedBody<Nothing>
}

/** Reads the body as text of at most [maxBodyBytes]. On failure, sends an error response and returns null. */
internal suspend fun ApplicationCall.receiveText(maxBodyBytes: Long): String? {
    when (val body = readBody(maxBodyBytes)) {
        is BodyResult.Complete -> {
            return body.text
        }

        BodyResult.TooLarge -> {
            respondError(
                HttpStatusCode.PayloadTooLarge,
                ErrorCode.BODY_TOO_LARGE,
                "The body is larger than $maxBodyBytes bytes.",
            )
        }

        BodyResult.Truncated -> {
            respondError(HttpStatusCode.BadRequest, ErrorCode.INVALID_BODY, "The body is cut short or is not UTF-8.")
        }
    }
    return null
}

/** Decodes a JSON body of at most [maxBodyBytes] from another process. On failure, sends an error response and returns null. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(maxBodyBytes: Long): T? {
    val text = receiveText(maxBodyBytes) ?: return null
    return try {
        WireJson.decodeFromString<T>(text)
    } catch (_: IllegalArgumentException) {
        respondError(HttpStatusCode.BadRequest, ErrorCode.INVALID_BODY, "The body is not a ${T::class.simpleName}.")
        null
    }
}

/** Responds to another process with [value], encoded here because content negotiation costs more than the encoding. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(value: T) =
    respondText(WireJson.encodeToString(value), ContentType.Application.Json)

/** Decodes [text] as the schema type [type], or returns all violations. */
internal fun <T> decodeStrictly(
    text: String,
    type: String,
    serializer: KSerializer<T>,
): DecodedBody<T> {
    val violations = SchemaValidator.violations(text, type)
    if (violations.isNotEmpty()) return DecodedBody.Invalid(violations)
    return try {
        DecodedBody.Valid(StrictJson.decodeFromString(serializer, text))
    } catch (e: SerializationException) {
        DecodedBody.Invalid(listOf(Violation(path = "$", message = e.firstLine())))
    }
}

private fun SerializationException.firstLine() =
    message
        .orEmpty()
        .lineSequence()
        .first()

/** Responds with an [ErrorBody]. */
internal suspend fun ApplicationCall.respondError(
    status: HttpStatusCode,
    code: ErrorCode,
    message: String,
    violations: List<Violation> = emptyList(),
) = respond(status, ErrorBody(code = code, message = message, violations = violations))

/** Responds that no leader can be reached. */
internal suspend fun ApplicationCall.respondNoLeader() =
    respondError(
        HttpStatusCode.ServiceUnavailable,
        ErrorCode.NO_LEADER,
        "No leader with a majority is known here; try again or ask another member.",
    )
