package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** The first frame of a process on a connection. */
@Serializable
data class ProcessHello(
    /** Name of the VM of the process. */
    val node: String,
    val role: ProcessRole,
    val incarnation: IncarnationId,
    val zone: ZoneId,
    val address: Address,
    /** False for a control process that keeps no log. */
    val hasDisk: Boolean = true,
)
