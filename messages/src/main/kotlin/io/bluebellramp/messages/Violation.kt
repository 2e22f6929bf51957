package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** One violation, by place. */
@Serializable
data class Violation(
    /** JSON path of the place. */
    val path: String,
    /** What is wrong there. */
    val message: String,
)
