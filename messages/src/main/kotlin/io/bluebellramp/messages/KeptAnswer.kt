package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** A final answer and the digest of the body to which it belongs. */
@Serializable
data class KeptAnswer(
    /** Digest of the body of the submission. */
    val digest: String,
    val answer: Answer,
)
