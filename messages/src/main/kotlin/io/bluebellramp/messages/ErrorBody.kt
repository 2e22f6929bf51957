package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** Why a call was refused or a submission did not complete. */
@Serializable
data class ErrorBody(
    val code: ErrorCode,
    /** Explanation for people in one sentence. */
    val message: String,
    /** Each violation of the schema or of a limit. */
    val violations: List<Violation> = emptyList(),
)
