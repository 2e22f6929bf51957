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

/** What came of reading the bytes of a body. */
sealed interface BodyResult {
    /** All bytes came. */
    data class Whole(
        val text: String,
    ) : BodyResult

    /** There are more bytes than allowed. */
    data object TooLarge : BodyResult

    /** The connection ended early or stayed silent for [BODY_TIMEOUT], or the bytes are not UTF-8. */
    data object Cut : BodyResult
}

private val BODY_TIMEOUT = 10.seconds

/** Reads the body whole, up to [limit] bytes. */
suspend fun ApplicationCall.readBody(limit: Long): BodyResult {
    val declared = request.headers[HttpHeaders.ContentLength]?.toLongOrNull()
    if (declared != null && declared > limit) return BodyResult.TooLarge
    val bytes =
        try {
            withTimeoutOrNull(BODY_TIMEOUT) { receiveChannel().readRemaining(limit + 1).readByteArray() }
        } catch (_: IOException) {
            null
        } ?: return BodyResult.Cut
    if (bytes.size > limit) return BodyResult.TooLarge
    if (declared != null && bytes.size < declared) return BodyResult.Cut
    return try {
        BodyResult.Whole(
            Charsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes))
                .toString(),
        )
    } catch (_: CharacterCodingException) {
        BodyResult.Cut
    }
}
