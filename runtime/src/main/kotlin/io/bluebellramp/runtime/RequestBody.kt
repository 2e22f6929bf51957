package io.bluebellramp.runtime

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import kotlin.time.Duration.Companion.seconds

/** The result of reading a request body. */
sealed interface BodyResult {
    /** The body arrived completely. */
    data class Complete(
        val text: String,
    ) : BodyResult

    /** The body is larger than allowed. */
    data object TooLarge : BodyResult

    /** The connection closed early, the body did not arrive completely within [BODY_TIMEOUT], or it is not UTF-8. */
    data object Truncated : BodyResult
}

private val BODY_TIMEOUT = 10.seconds

/** Reads the request body as text if it has at most [limit] bytes. */
suspend fun ApplicationCall.readBody(limit: Long): BodyResult {
    val contentLength = request.headers[HttpHeaders.ContentLength]?.toLongOrNull()
    if (contentLength != null && contentLength > limit) return BodyResult.TooLarge
    val bytes =
        try {
            withTimeoutOrNull(BODY_TIMEOUT) { receiveChannel().readRemaining(limit + 1).readByteArray() }
        } catch (_: IOException) {
            null
        } ?: return BodyResult.Truncated
    if (bytes.size > limit) return BodyResult.TooLarge
    if (contentLength != null && bytes.size < contentLength) return BodyResult.Truncated
    return try {
        BodyResult.Complete(
            Charsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes))
                .toString(),
        )
    } catch (_: CharacterCodingException) {
        BodyResult.Truncated
    }
}
