package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** Answers that no caller has fetched from an entry that shuts down. */
@Serializable
data class AnswerHandover(
    /** The answers. */
    val answers: List<KeptAnswer>,
)
