package io.bluebellramp.control

import io.bluebellramp.core.StrictJson
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.Violation
import io.bluebellramp.runtime.SchemaValidator
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respond
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/** Largest body of an operator's call (bytes). */
internal const val MAX_BODY_BYTES = 4L * 1024 * 1024

/** What came of reading a body. */
internal sealed interface BodyResult<out T> {
    /** The body has the type that the schema asks for. */
    data class Valid<T>(
        val value: T,
    ) : BodyResult<T>

    /** The body has [violations]. */
    data class Invalid(
        val violations: List<Violation>,
    ) : BodyResult<Nothing>
}

/** Reads the body as bytes, or returns null if it is larger than [MAX_BODY_BYTES]. */
internal suspend fun ApplicationCall.receiveBounded(): ByteArray? {
    if ((request.contentLength() ?: 0) > MAX_BODY_BYTES) return null
    val bytes = receiveChannel().readRemaining(MAX_BODY_BYTES + 1).readByteArray()
    return bytes.takeIf { it.size <= MAX_BODY_BYTES }
}

/** Decodes [text] as the schema type [type]; every violation is listed. */
internal fun <T> decodeStrictly(
    text: String,
    type: String,
    serializer: KSerializer<T>,
): BodyResult<T> {
    val violations = SchemaValidator.violations(text, type)
    if (violations.isNotEmpty()) return BodyResult.Invalid(violations)
    return try {
        BodyResult.Valid(StrictJson.decodeFromString(serializer, text))
    } catch (e: SerializationException) {
        BodyResult.Invalid(listOf(Violation(path = "$", message = e.firstLine())))
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
