package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** Final answers that an entry passes on at shutdown because no caller has fetched them. */
@Serializable
data class AnswerHandover(
    /** The answers. */
    val answers: List<KeptAnswer>,
)
