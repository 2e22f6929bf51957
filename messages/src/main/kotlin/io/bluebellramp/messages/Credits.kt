package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** A number of credits that are granted or returned. */
@Serializable
data class Credits(
    /** Credits for tasks. */
    val slots: Int = 0,
    /** Credits for requests. */
    val connections: Int = 0,
)
