package io.bluebellramp.messages

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** The result of a change. */
@Serializable
data class ChangeResponse(
    val change: ChangeId,
    val outcome: ChangeOutcome,
    val revision: Revision,
    val winner: ChangeWinner? = null,
    /** Errors that make the configuration invalid. */
    val violations: List<Violation> = emptyList(),
    /** True if the revision is in force everywhere. */
    val inForce: Boolean = false,
    /** Time from the call to acceptance (ms). */
    val acceptedMillis: Double = 0.0,
    /** Time from acceptance until in force everywhere (ms). */
    val inForceMillis: Double? = null,
)
