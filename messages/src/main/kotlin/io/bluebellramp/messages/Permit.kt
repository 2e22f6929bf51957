package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** The right to start tasks until the permit expires. Its age is measured from the moment the agent sent the request. */
@Serializable
data class Permit(
    /** Number of the request that the permit answers. */
    val sequence: Long,
    val revision: Revision,
    /** How long the permit is valid from the moment the agent sent the request (ms). */
    val validMillis: Long,
    /** False if the zone or the target is out of service. */
    val inService: Boolean,
    /** Maximum number of tasks that run at the same time. */
    val slots: Int,
    /** Maximum number of requests that are served at the same time. */
    val connections: Int,
    /** Maximum run time of one task (ms). */
    val taskMillis: Long,
    /** Live entries of the site. */
    val entries: List<Address>,
)
