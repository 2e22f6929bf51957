package io.bluebellramp.messages

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** The change that holds the revision which a conflicting change asked for. */
@Serializable
data class ChangeWinner(
    val change: ChangeId,
    val revision: Revision,
    /** Who made it. */
    val author: String? = null,
)
