package io.bluebellramp.messages

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** The change that was accepted as the revision for which a conflicting change was submitted. */
@Serializable
data class ChangeWinner(
    val change: ChangeId,
    val revision: Revision,
    /** Who requested that change. */
    val author: String? = null,
)
