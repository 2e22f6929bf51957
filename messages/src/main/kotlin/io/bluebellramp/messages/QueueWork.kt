package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** Work that waits for free capacity at one agent. */
@Serializable
data class QueueWork(
    val queue: String,
    /** Amount of work (thousandths of a core times ms). */
    val work: Long,
)
