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

/** Largest body of an operator's call (bytes). */
internal const val MAX_BODY_BYTES = 4L * 1024 * 1024

/** Largest body of a request for a lease or a vote (bytes). */
internal const val SMALL_BODY_BYTES = 64L * 1024

/** Largest body of a batch of claims or releases, which has 1,000 of them at most (bytes). */
internal const val CLAIMS_BODY_BYTES = 1024L * 1024

/** Largest body of a request with records, one of which may be the largest change with each character escaped (bytes). */
internal const val LOG_BODY_BYTES = 16L * 1024 * 1024

/** What came of decoding a body. */
internal sealed interface DecodedBody<out T> {
    /** The body has the type that the schema asks for. */
    data class Valid<T>(
        val value: T,
    ) : DecodedBody<T>

    /** The body has [violations]. */
    data class Invalid(
        val violations: List<Violation>,
    ) : DecodedBody<Nothing>
}

/** Reads the body as text of [limit] bytes at most. Otherwise it answers why not and returns null. */
internal suspend fun ApplicationCall.receiveText(limit: Long): String? {
    when (val body = readBody(limit)) {
        is BodyResult.Whole -> {
            return body.text
        }

        BodyResult.TooLarge -> {
            respondError(
                HttpStatusCode.PayloadTooLarge,
                ErrorCode.BODY_TOO_LARGE,
                "The body is larger than $limit bytes.",
            )
        }

        BodyResult.Cut -> {
            respondError(HttpStatusCode.BadRequest, ErrorCode.INVALID_BODY, "The body is cut short or is not UTF-8.")
        }
    }
    return null
}

/** Reads a body of another process of [limit] bytes at most. Otherwise it answers why not and returns null. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(limit: Long): T? {
    val text = receiveText(limit) ?: return null
    return try {
        WireJson.decodeFromString<T>(text)
    } catch (_: IllegalArgumentException) {
        respondError(HttpStatusCode.BadRequest, ErrorCode.INVALID_BODY, "The body is not a ${T::class.simpleName}.")
        null
    }
}

/** Answers another process with [value]; as text, since content negotiation costs more than the encoding. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(value: T) =
    respondText(WireJson.encodeToString(value), ContentType.Application.Json)

/** Decodes [text] as the schema type [type]; every violation is listed. */
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

/** Answers with an error. */
internal suspend fun ApplicationCall.respondError(
    status: HttpStatusCode,
    code: ErrorCode,
    message: String,
    violations: List<Violation> = emptyList(),
) = respond(status, ErrorBody(code = code, message = message, violations = violations))

/** Answers that no leader can be reached. */
internal suspend fun ApplicationCall.respondNoLeader() =
    respondError(
        HttpStatusCode.ServiceUnavailable,
        ErrorCode.NO_LEADER,
        "No leader with a majority is known here; try again or ask another member.",
    )
