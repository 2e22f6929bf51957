package io.bluebellramp.messages

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** An entry gives up claims for which it got no majority. */
@Serializable
data class ClaimRelease(
    val incarnation: IncarnationId,
    /** The submissions. */
    val submissions: List<SubmissionId>,
    /** The last round that is given up, so that a late release does not end a later claim. */
    val sequence: Long = 0,
)
