package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** One violation and where it is. */
@Serializable
data class Violation(
    /** JSON path of the invalid value. */
    val path: String,
    /** What is wrong with the value. */
    val message: String,
)
