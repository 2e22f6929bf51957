package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import kotlinx.serialization.Serializable

/** A single request. It uses a connection of a target instead of a slot. */
@Serializable
data class RequestSubmission(
    val submission: SubmissionId,
    val service: ServiceId,
    /** Opaque text for the target. */
    val payload: String,
    val team: TeamId? = null,
    /** Time from arrival after which the caller no longer needs the answer (ms). */
    val deadlineMillis: Long? = null,
    /** True if the request may run more than once without harm. */
    val idempotent: Boolean = false,
)
