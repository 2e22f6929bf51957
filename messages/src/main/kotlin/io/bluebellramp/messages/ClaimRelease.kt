package io.bluebellramp.messages

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** The request of an entry to release claims for which it got no majority. */
@Serializable
data class ClaimRelease(
    val incarnation: IncarnationId,
    /** The submissions. */
    val submissions: List<SubmissionId>,
    /** Last round that is released. It prevents a delayed release from ending a later claim. */
    val sequence: Long = 0,
)
