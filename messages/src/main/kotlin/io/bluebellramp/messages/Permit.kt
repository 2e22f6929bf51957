package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** The right to start tasks until it runs out. Its age counts from the moment the agent sent the request. */
@Serializable
data class Permit(
    /** The request that it answers. */
    val sequence: Long,
    val revision: Revision,
    /** Life from the moment the agent sent the request (ms). */
    val validMillis: Long,
    /** False if the zone or the target is out of service. */
    val inService: Boolean,
    /** Tasks that may run at once. */
    val slots: Int,
    /** Requests that may be served at once. */
    val connections: Int,
    /** Longest run time of one task (ms). */
    val taskMillis: Long,
    /** Live entries of the site. */
    val entries: List<Address>,
)
