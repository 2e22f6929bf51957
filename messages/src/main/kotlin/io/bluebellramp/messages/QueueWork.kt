package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** Work that waits for room at one agent. */
@Serializable
data class QueueWork(
    val queue: String,
    /** Thousandths of a core times ms. */
    val work: Long,
)
